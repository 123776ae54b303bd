/** Rules for the links of one daemon, as a run sets them: delay, loss and cuts towards peers. */
import * as z from 'zod';

/** How the link towards one peer behaves. */
export const linkRuleSchema = z.object({
  /** `IP:port` of the peer, or `*` for all others. */
  peer: z.string(),
  /** One-way delay of what is sent. */
  delayMs: z.number().min(0).default(0),
  /** Further delay drawn evenly from 0 to this. */
  jitterMs: z.number().min(0).default(0),
  /** Share of datagrams and requests that are lost. */
  loss: z.number().min(0).max(1).default(0),
  /** Loses everything that this daemon sends there. */
  isCut: z.boolean().default(false),
});

/** What a run tells a daemon over its standard input, one line of JSON each. */
export const faultOrderSchema = z.object({
  links: z.array(linkRuleSchema).default([]),
  /** Cuts this daemon off from the platform. */
  isPlatformCut: z.boolean().default(false),
});

export type LinkRule = z.infer<typeof linkRuleSchema>;
export type FaultOrder = z.infer<typeof faultOrderSchema>;

const ANY_PEER = '*';
const NO_RULE: LinkRule = { peer: ANY_PEER, delayMs: 0, jitterMs: 0, loss: 0, isCut: false };

/** The rules in force in one daemon. */
export class LinkRules {
  private _order: FaultOrder = { links: [], isPlatformCut: false };

  public set(order: FaultOrder): void {
    this._order = order;
  }

  public get isPlatformCut(): boolean {
    return this._order.isPlatformCut;
  }

  public towards(peer: string): LinkRule {
    const { links } = this._order;
    const exact = links.find((rule) => rule.peer === peer);
    return exact ?? links.find((rule) => rule.peer === ANY_PEER) ?? NO_RULE;
  }
}
