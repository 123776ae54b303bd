/**
 * Selects events of the time line. Events are associated with a request and a workspace by their
 * identifiers: an event that names a request and an attempt associates later events of that attempt
 * with the request, and an admission event associates its request with the workspace.
 */
import type { TimeLineEvent } from '@tanagerdyke/kernel';

/** The criteria of a selection; an absent field matches every event. */
export interface EventSelection {
  /** Identifier of a request, an attempt, or an idempotency key. */
  readonly request?: string;
  readonly target?: string;
  readonly workspace?: string;
  readonly node?: string;
  /** Full name of an event, or the part of its name before a dot. */
  readonly name?: string;
}

/** Filters events by an `EventSelection`; they must be passed in order of time. */
export class EventFilter {
  private readonly _requestIdentifiers = new Set<string>();
  private readonly _workspaceIdentifiers = new Set<string>();

  constructor(private readonly _selection: EventSelection) {
    if (_selection.request !== undefined) {
      this._requestIdentifiers.add(_selection.request);
    }
  }

  public select(events: readonly TimeLineEvent[]): readonly TimeLineEvent[] {
    return events.filter((event) => {
      this._associate(event);
      return this._isSelected(event);
    });
  }

  /** Extends the identifiers of the selected request and workspace by those of an event. */
  private _associate({ fields }: TimeLineEvent): void {
    const identifiers = identifiersOf(fields);
    if (fields.workspace !== undefined && fields.workspace === this._selection.workspace) {
      addAll(this._workspaceIdentifiers, identifiers);
    }
    for (const associated of [this._requestIdentifiers, this._workspaceIdentifiers]) {
      if (identifiers.some((each) => associated.has(each))) {
        addAll(associated, identifiers);
      }
    }
  }

  private _isSelected({ fields, name, node }: TimeLineEvent): boolean {
    const { name: eventName, node: nodeName, request, target, workspace } = this._selection;
    const identifiers = identifiersOf(fields);
    return (
      (request === undefined || identifiers.some((each) => this._requestIdentifiers.has(each))) &&
      (workspace === undefined ||
        identifiers.some((each) => this._workspaceIdentifiers.has(each))) &&
      (target === undefined || fields.target === target) &&
      (nodeName === undefined || node === nodeName) &&
      (eventName === undefined || name === eventName || name.startsWith(`${eventName}.`))
    );
  }
}

function identifiersOf(fields: TimeLineEvent['fields']): readonly string[] {
  return [fields.request, fields.attempt, fields.key].filter(
    (each): each is string => typeof each === 'string',
  );
}

function addAll(associated: Set<string>, identifiers: readonly string[]): void {
  for (const each of identifiers) {
    associated.add(each);
  }
}
