/**
 * Parses the subset of the Prometheus text exposition format (version 0.0.4) that the kernel's
 * metrics write.
 */

/** One value of a series with its labels. */
export interface Sample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

const SAMPLE_PATTERN = /^([A-Za-z_:][\w:]*)(?:\{(.*)\})? (\S+)$/;
const LABEL_PATTERN = /([A-Za-z_]\w*)="((?:[^"\\]|\\.)*)"/g;

/** Returns all samples; comments and lines that aren't samples are skipped. */
export function parseMetrics(text: string): Sample[] {
  return text.split('\n').flatMap((line) => {
    const match = SAMPLE_PATTERN.exec(line);
    const value = Number(match?.[3]);
    if (match === null || !Number.isFinite(value)) {
      return [];
    }
    const [, name = '', labels = ''] = match;
    return [{ name, labels: labelsOf(labels), value }];
  });
}

/** Returns the sum of a series over all its labels; 0 when it is absent. */
export function sumOf(samples: readonly Sample[], name: string): number {
  return samples
    .filter((sample) => sample.name === name)
    .reduce((sum, { value }) => sum + value, 0);
}

/** Returns the sums of a series grouped by the values of one label. */
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
  const pairs = [...text.matchAll(LABEL_PATTERN)].map(([, name = '', value = '']) => [name, value]);
  return Object.fromEntries(pairs) as Record<string, string>;
}
