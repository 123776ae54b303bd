/**
 * Parses server-sent events (WHATWG HTML, section 9.2) of a response body, as far as daemons send
 * them: `event` and `data` fields with a space after the colon, and `\n` as the line end.
 */

/** The type and data of one event. */
export interface ServerSentEvent {
  readonly event: string;
  readonly data: string;
}

const EVENT_FIELD = 'event: ';
const DATA_FIELD = 'data: ';

/** Yields the events of a body in order; an event that the end of the body cuts off is dropped. */
export async function* readServerSentEvents(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<ServerSentEvent> {
  const decoder = new TextDecoder();
  let incomplete = '';
  for await (const chunk of body) {
    const blocks = (incomplete + decoder.decode(chunk, { stream: true })).split('\n\n');
    incomplete = blocks.pop() ?? '';
    for (const block of blocks) {
      yield parseEvent(block);
    }
  }
}

function parseEvent(block: string): ServerSentEvent {
  let event = 'message';
  const data: string[] = [];
  for (const line of block.split('\n')) {
    if (line.startsWith(EVENT_FIELD)) {
      event = line.slice(EVENT_FIELD.length);
    } else if (line.startsWith(DATA_FIELD)) {
      data.push(line.slice(DATA_FIELD.length));
    }
  }
  return { event, data: data.join('\n') };
}
