/** Reads from a gateway node where a request would go, and renders it as text. */
import * as z from 'zod';

const EXPLAIN_PATH = '/v1/operator/explain';
/** Candidates that the text shows of a cell; `--json` has all. */
const MAX_RENDERED = 20;

/** A request to be explained; names as the node reads them. */
export interface ExplainedRequest {
  readonly route: string | undefined;
  readonly host: string | undefined;
  readonly path: string | undefined;
  readonly workspace: string | undefined;
  readonly prompt: number | undefined;
  readonly output: number | undefined;
  readonly hint: number | undefined;
}

const candidateSchema = z.object({
  target: z.string(),
  availabilityZone: z.string(),
  slots: z.number(),
  usedSlots: z.number(),
  backlogMs: z.number(),
  scheduleDelayMs: z.number(),
  slowdown: z.number(),
  memoryTokens: z.number(),
  endsInMs: z.number().optional(),
  firstEventMs: z.number().optional(),
  cost: z.number().optional(),
  obstacle: z.string().optional(),
});

const cellSchema = z.object({
  availabilityZone: z.string().optional(),
  coordinator: z.string().optional(),
  account: z.string(),
  outcome: z.string(),
  refusal: z.string().optional(),
  targets: z.array(z.string()),
  firstEventMs: z.number().optional(),
  cost: z.number().optional(),
  ahead: z.number(),
  expectedWaitMs: z.number(),
  retryAfterMs: z.number().optional(),
  candidates: z.array(candidateSchema),
});

const serviceSchema = z.object({
  service: z.string(),
  share: z.number(),
  estimate: z.object({
    outputTokens: z.number(),
    generationMs: z.number().optional(),
    callMs: z.number().optional(),
  }),
  accepting: z.number(),
  obstructed: z.array(
    z.object({ target: z.string(), availabilityZone: z.string(), obstacle: z.string() }),
  ),
  prompt: z.object({ pausedMs: z.number(), cells: z.array(cellSchema) }).optional(),
});

/** The answer of a node. */
export const explanationSchema = z.object({
  node: z.string(),
  version: z.number(),
  route: z.string(),
  kind: z.string(),
  workspace: z.string(),
  services: z.array(serviceSchema),
});

export type RequestExplanation = z.infer<typeof explanationSchema>;
type ServiceExplanation = z.infer<typeof serviceSchema>;
type CellExplanation = z.infer<typeof cellSchema>;
type Candidate = z.infer<typeof candidateSchema>;

/** The address at which a node explains a request. */
export function explanationUrl(address: string, request: ExplainedRequest): string {
  const query = new URLSearchParams();
  for (const [name, value] of Object.entries(request) as [string, string | number | undefined][]) {
    if (value !== undefined) {
      query.set(name, String(value));
    }
  }
  return `${address}${EXPLAIN_PATH}?${query.toString()}`;
}

/** Renders an explanation as text. */
export function renderExplanation(explanation: RequestExplanation): string {
  const { kind, node, route, services, version, workspace } = explanation;
  const whose = workspace === '' ? 'without a workspace' : `of workspace ${workspace}`;
  return [
    `route ${route} (${kind}), request ${whose}, by node ${node} with configuration ${version}`,
    ...services.flatMap(renderService),
  ].join('\n');
}

function renderService(explained: ServiceExplanation): readonly string[] {
  const { accepting, estimate, obstructed, prompt, service, share } = explained;
  const { callMs, generationMs, outputTokens } = estimate;
  const estimates = [
    ...(prompt === undefined ? [] : [`${Math.round(outputTokens)} output tokens`]),
    ...(generationMs === undefined ? [] : [`${Math.round(generationMs)} ms of generation`]),
    ...(callMs === undefined ? [] : [`${Math.round(callMs)} ms`]),
  ];
  const pausedMs = prompt?.pausedMs ?? 0;
  return [
    `service ${service}: ${Math.round(share * 100)} % of the route, ${accepting} targets accept requests`,
    `  estimate: ${estimates.length === 0 ? 'nothing is learned' : estimates.join(', ')}`,
    ...obstructed.map(
      ({ availabilityZone, obstacle, target }) => `  ${target} (${availabilityZone}): ${obstacle}`,
    ),
    ...(pausedMs > 0 ? [`  refused: all targets are paused for ${pausedMs} ms`] : []),
    ...(prompt?.cells ?? []).flatMap(renderCell),
  ];
}

function renderCell(cell: CellExplanation): readonly string[] {
  const { account, availabilityZone, candidates, coordinator } = cell;
  const zone = availabilityZone === undefined ? 'of all zones' : `of zone ${availabilityZone}`;
  const decider = coordinator ?? 'no other node';
  const partial =
    account === 'complete'
      ? []
      : [`  this node has a part of the account only; ${decider} decides, ask it for the whole`];
  const rendered = candidates.slice(0, MAX_RENDERED).map(renderCandidate);
  const more = candidates.length - rendered.length;
  return [
    `  cell ${zone}: ${renderOutcome(cell)}`,
    ...partial,
    ...rendered,
    ...(more > 0 ? [`    and ${more} more; --json has all`] : []),
  ];
}

function renderOutcome(cell: CellExplanation): string {
  const { ahead, cost, expectedWaitMs, firstEventMs, outcome, refusal, retryAfterMs } = cell;
  if (outcome === 'placed') {
    const targets = cell.targets.join('+');
    return `placed on ${targets}, first event in ${firstEventMs ?? 0} ms, cost ${cost ?? 0}`;
  }
  const queue = `behind ${ahead} waiting prompts, place expected in ${expectedWaitMs} ms`;
  return outcome === 'refused'
    ? `refused: ${refusal ?? 'unknown'}, ${queue}, retry after ${retryAfterMs ?? 0} ms`
    : `waits ${queue}`;
}

function renderCandidate(candidate: Candidate): string {
  const { availabilityZone, backlogMs, cost, endsInMs, firstEventMs, obstacle } = candidate;
  const { scheduleDelayMs, slots, slowdown, target, usedSlots } = candidate;
  return [
    `    ${target} (${availabilityZone})`,
    `${usedSlots} of ${slots} slots`,
    `backlog ${backlogMs} ms`,
    ...(scheduleDelayMs > 0 ? [`${scheduleDelayMs} ms behind`] : []),
    ...(slowdown > 1 ? [`${slowdown} times as slow as others`] : []),
    ...(endsInMs === undefined ? [] : [`last answer ends in ${endsInMs} ms`]),
    ...(firstEventMs === undefined ? [] : [`first event in ${firstEventMs} ms`]),
    ...(cost === undefined ? [] : [`cost ${cost}`]),
    ...(obstacle === undefined ? [] : [`obstacle: ${obstacle}`]),
  ].join(', ');
}
