/** Guards against wrong use of `explain` that is not reported with exit code 2, and unread answers. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { cac } from 'cac';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { registerGatewayCommands } from './commands/GatewayCommands.js';
import { ExitCode, printUsage } from './Output.js';

const EXPLANATION = {
  node: 'n1',
  version: 7,
  route: 'chat',
  kind: 'stream',
  workspace: 'w',
  services: [
    {
      service: 'm',
      share: 1,
      estimate: { outputTokens: 320, generationMs: 400 },
      accepting: 2,
      obstructed: [{ target: 'e9', availabilityZone: 'b', obstacle: 'draining' }],
      prompt: {
        pausedMs: 0,
        cells: [
          {
            coordinator: 'n2',
            account: 'partial',
            outcome: 'placed',
            targets: ['e1'],
            firstEventMs: 90,
            cost: 0.1,
            ahead: 0,
            expectedWaitMs: 0,
            candidates: [
              {
                target: 'e1',
                availabilityZone: 'a',
                slots: 8,
                usedSlots: 3,
                backlogMs: 10,
                scheduleDelayMs: 0,
                slowdown: 1.5,
                memoryTokens: 30_000,
                firstEventMs: 90,
                cost: 0.1,
              },
            ],
          },
        ],
      },
    },
  ],
};

describe('explain', () => {
  let server: Server;
  let address: string;
  let output: string;
  let requested: string[];

  beforeEach(async () => {
    requested = [];
    output = '';
    server = createServer((request, response) => {
      requested.push(request.url ?? '');
      const isKnown = request.url?.includes('route=chat') === true;
      const problem = {
        kind: 'bad-request',
        detail: 'no route matches',
        remedy: 'give a route',
        notRun: 'true',
      };
      response.writeHead(isKnown ? 200 : 400);
      response.end(JSON.stringify(isKnown ? EXPLANATION : problem));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const write = (text: string | Uint8Array): boolean => {
      output += text.toString();
      return true;
    };
    vi.spyOn(process.stdout, 'write').mockImplementation(write);
    vi.spyOn(process.stderr, 'write').mockImplementation(write);
  });

  afterEach(() => {
    vi.restoreAllMocks();
    process.exitCode = undefined;
    server.close();
  });

  async function run(...args: string[]): Promise<typeof process.exitCode> {
    process.exitCode = undefined;
    const cli = cac('tanagerctl');
    cli.option('--address <url>', '');
    cli.option('--json', '');
    registerGatewayCommands(cli);
    try {
      cli.parse(['node', 'tanagerctl', 'explain', ...args, '--address', address], { run: false });
      await cli.runMatchedCommand();
    } catch (error) {
      printUsage(String(error));
    }
    return process.exitCode;
  }

  it('prints where a request would go', async () => {
    const args = ['--route', 'chat', '--workspace', 'w', '--prompt', '5000', '--output', '400'];
    expect(await run(...args, '--hint', '300')).toBeUndefined();
    expect(requested).toEqual([
      '/v1/operator/explain?route=chat&workspace=w&prompt=5000&output=400&hint=300',
    ]);
    expect(output).toContain('placed on e1, first event in 90 ms');
    expect(output).toContain('n2 decides');
    expect(output).toContain('e9 (b): draining');
    expect(output).toContain('1.5 times as slow as others');
  });

  it('prints one JSON line', async () => {
    await run('--route', 'chat', '--json');
    expect(JSON.parse(output)).toEqual(EXPLANATION);
  });

  it('fails if the node has no such route', async () => {
    expect(await run('--route', 'other')).toBe(ExitCode.Failure);
    expect(output).toContain('no route matches');
  });

  it.each([
    ['nothing', []],
    ['a route and a host', ['--route', 'chat', '--host', 'h']],
    ['an ended request and a route', ['id-1', '--route', 'chat']],
    ['an ended request without a log', ['id-1']],
    ['a log without a request', ['--log', 'x']],
    ['a number that is none', ['--route', 'chat', '--prompt', 'many']],
    ['a negative number', ['--route', 'chat', '--output=-5']],
    ['a long name', ['--route', 'x'.repeat(300)]],
  ])('is a wrong use with %s', async (_name, args) => {
    expect(await run(...args)).toBe(ExitCode.Usage);
    expect(requested).toEqual([]);
  });
});
