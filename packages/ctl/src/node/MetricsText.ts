/** Reads the Prometheus text exposition format (version 0.0.4), as far as the kernel's metrics write it. */

/** One value with its labels. */
export interface Sample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

const LINE = /^([A-Za-z_:][\w:]*)(?:\{(.*)\})? (\S+)$/;
const LABEL = /([A-Za-z_]\w*)="((?:[^"\\]|\\.)*)"/g;

/** All samples; comments and lines that aren't samples are left out. */
export function parseMetrics(text: string): Sample[] {
  return text.split('\n').flatMap((line) => {
    const match = LINE.exec(line);
    const value = Number(match?.[3]);
    if (match === null || !Number.isFinite(value)) {
      return [];
    }
    const [, name = '', labels = ''] = match;
    return [{ name, labels: labelsOf(labels), value }];
  });
}

/** The sum of a series over all its labels; 0 when it is absent. */
export function sumOf(samples: readonly Sample[], name: string): number {
  return samples
    .filter((sample) => sample.name === name)
    .reduce((sum, { value }) => sum + value, 0);
}

/** Sums of a series by the values of one label. */
export function sumsBy(
  samples: readonly Sample[],
  name: string,
  label: string,
): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  for (const { labels, value } of samples.filter((sample) => sample.name === name)) {
    const key = labels[label] ?? '';
    sums.set(key, (sums.get(key) ?? 0) + value);
  }
  return sums;
}

function labelsOf(text: string): Record<string, string> {
  const pairs = [...text.matchAll(LABEL)].map(([, name = '', value = '']) => [name, value]);
  return Object.fromEntries(pairs) as Record<string, string>;
}
