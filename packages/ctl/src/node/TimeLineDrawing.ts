/** Draws events for the terminal: one column per node, one line per event. */
import type { TimeLineEvent } from '@tanagerdyke/kernel';

const TIME_WIDTH = 10;
const MARK = '●';
const LANE = '│';

/** Draws events; a node keeps its column over all calls, as `timeline --follow` needs. */
export class TimeLineDrawing {
  private readonly _nodes: string[] = [];
  private _startedAt: number | undefined;

  /** Returns the lines of events; a node's first event adds its column and a line that names it. */
  public draw(events: readonly TimeLineEvent[]): readonly string[] {
    return events.flatMap((event) => {
      this._startedAt ??= event.at;
      const isNew = !this._nodes.includes(event.node);
      if (isNew) {
        this._nodes.push(event.node);
      }
      const heading = isNew ? [this._heading(event.node)] : [];
      return [...heading, this._line(event, event.at - this._startedAt)];
    });
  }

  private _heading(node: string): string {
    const lanes = this._nodes.slice(0, -1).map(() => LANE);
    return `${' '.repeat(TIME_WIDTH)}  ${[...lanes, '┬'].join(' ')} ${node}`;
  }

  private _line({ fields, name, node }: TimeLineEvent, sinceMs: number): string {
    const lanes = this._nodes.map((each) => (each === node ? MARK : LANE)).join(' ');
    return `${`+${sinceMs.toFixed(1)}`.padStart(TIME_WIDTH)}  ${lanes}  ${name} ${renderFields(fields)}`;
  }
}

/** Returns an event as one line of text. */
export function renderEvent({ at, fields, name, node }: TimeLineEvent): string {
  return `${new Date(at).toISOString()} ${node} ${name} ${renderFields(fields)}`.trimEnd();
}

function renderFields(fields: TimeLineEvent['fields']): string {
  return Object.entries(fields)
    .map(([key, value]) => `${key}=${String(value)}`)
    .join(' ');
}
