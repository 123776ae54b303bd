/** Tests that members survive encoding, JSON and decoding. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { decodeMember, encodeMember, wireMemberSchema } from './MemberCodec.js';
import { type Member, MemberStatus } from './Messages.js';

const SEED = 6;
const members: fc.Arbitrary<Member> = fc
  .record({
    name: fc.string(),
    peerAddress: fc.string(),
    callerAddress: fc.string(),
    region: fc.string(),
    availabilityZone: fc.string(),
    incarnation: fc.nat(),
    startedAt: fc.nat(),
    stateVersion: fc.nat(),
    status: fc.constantFrom(...Object.values(MemberStatus)),
    state: fc.record({
      configurationOffset: fc.integer({ min: -1 }),
      configurationDigest: fc.string(),
      isReady: fc.boolean(),
      isDraining: fc.boolean(),
    }),
  })
  .map((member) => ({ ...member, incarnation: member.startedAt + member.incarnation }));

function roundTrip(member: Member, isIntroduction: boolean, known: Member | undefined): unknown {
  const text = JSON.stringify(encodeMember(member, isIntroduction));
  return decodeMember(wireMemberSchema.parse(JSON.parse(text)), known);
}

describe('MemberCodec', () => {
  it('decodes a whole member from an introduction', () => {
    fc.assert(
      fc.property(members, (member) => {
        expect(roundTrip(member, true, undefined)).toEqual(member);
      }),
      { seed: SEED },
    );
  });

  it('takes the location from the known record when the update is not an introduction', () => {
    fc.assert(
      fc.property(members, members, (member, other) => {
        const { availabilityZone, callerAddress, peerAddress, region } = member;
        const known = { ...other, availabilityZone, callerAddress, peerAddress, region };
        expect(roundTrip(member, false, known)).toEqual(member);
      }),
      { seed: SEED },
    );
  });

  it('returns undefined for a process without a known record', () => {
    fc.assert(
      fc.property(members, (member) => {
        expect(roundTrip(member, false, undefined)).toBeUndefined();
      }),
      { seed: SEED },
    );
  });
});
