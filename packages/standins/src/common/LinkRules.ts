/** Link emulation of one daemon: delay, loss and cuts of what it sends to its peers. */
import * as z from 'zod';

/** The emulated properties of the link to one peer. */
export const linkRuleSchema = z.object({
  /** `IP:port` of the peer, or `*` for all peers without a rule of their own. */
  peer: z.string(),
  /** Delay in the direction of sending. */
  delayMs: z.number().min(0).default(0),
  /** Upper bound of a further random delay, uniformly distributed from 0. */
  jitterMs: z.number().min(0).default(0),
  /** Probability that a datagram, a request or its response is lost. */
  loss: z.number().min(0).max(1).default(0),
  /** Whether everything that this daemon sends to the peer is lost. */
  isCut: z.boolean().default(false),
});

/** The faults in force in a daemon. A run sends them to its standard input as a line of JSON. */
export const faultSettingsSchema = z.object({
  links: z.array(linkRuleSchema).default([]),
  /** Whether the requests of this daemon to the platform fail. */
  isPlatformCut: z.boolean().default(false),
});

export type LinkRule = z.infer<typeof linkRuleSchema>;
export type FaultSettings = z.infer<typeof faultSettingsSchema>;

const ANY_PEER = '*';
const DEFAULT_RULE: LinkRule = { peer: ANY_PEER, delayMs: 0, jitterMs: 0, loss: 0, isCut: false };

/** Holds the faults in force in one daemon and finds the rule of a link. */
export class LinkRules {
  private _settings: FaultSettings = { links: [], isPlatformCut: false };

  public set(settings: FaultSettings): void {
    this._settings = settings;
  }

  public get isPlatformCut(): boolean {
    return this._settings.isPlatformCut;
  }

  /** The rule of this peer, else the rule of all others, else a link without faults. */
  public ruleFor(peer: string): LinkRule {
    const { links } = this._settings;
    const exact = links.find((rule) => rule.peer === peer);
    return exact ?? links.find((rule) => rule.peer === ANY_PEER) ?? DEFAULT_RULE;
  }
}
