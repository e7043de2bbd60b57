import * as stream from 'node:stream';
import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as virtualClock from '../common/testing/VirtualClock.js';
import type * as coordination from '../coordination/Types.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import * as gateways from './Gateway.js';
import * as retryBudget from './RetryBudget.js';
import * as serviceBalancer from './ServiceBalancer.js';
import * as types from './Types.js';

const { beforeEach, describe, expect, test } = vitest;

type Script = (
  call: types.IEndpointCall,
) => types.IEndpointAnswer | types.EndpointCallError | 'silent';

function answerOf(
  status: number,
  body: string,
  change: Partial<types.IEndpointAnswer> = {},
): types.IEndpointAnswer {
  return {
    status,
    headers: [],
    isGenuine: true,
    isFramed: true,
    isNotRun: false,
    isWrongEndpoint: false,
    load: undefined,
    body: stream.Readable.from([Buffer.from(body)]),
    isComplete: () => true,
    ...change,
  };
}

class FakeResponder implements types.IResponder {
  isDisconnected = false;

  text = '';

  outcome = 'none';

  retryAfter: number | undefined;

  private listener: (() => void) | undefined;

  onDisconnect(listener: () => void): void {
    this.listener = listener;
  }

  leave(): void {
    this.isDisconnected = true;
    this.listener?.();
  }

  answer(answer: types.IEndpointAnswer, body: Buffer): void {
    this.outcome = String(answer.status);
    this.text = body.toString();
  }

  begin(): void {
    this.outcome = 'begun';
  }

  write(chunk: Buffer): boolean {
    this.text += chunk.toString();
    return true;
  }

  onDrain(): void {}

  end(): void {
    this.outcome = 'whole';
  }

  abort(): void {
    this.outcome = 'cut';
  }

  reject(rejection: types.Rejection, retryAfter?: number): void {
    this.outcome = rejection;
    this.retryAfter = retryAfter;
  }
}

const ROUTE: routing.IRoute = {
  name: 'read',
  host: 'a',
  prefix: '/read/',
  kind: 'safe',
  timeout: 1000,
  latencyGoal: 300,
  priority: 0,
  targets: [{ service: 's', weight: 1 }],
  maxExecutions: 2,
  stages: [],
  isPublic: true,
  resumable: false,
};

describe('Gateway', () => {
  let clock: virtualClock.VirtualClock;
  let gateway: gateways.Gateway;
  let calls: types.IEndpointCall[];
  let cancelled: number;
  let script: Script;
  let plans: coordination.IPlanRequest[];
  let planned: coordination.PlanOutcome[];
  const endpoint = (id: string): routing.IEndpoint => ({
    id,
    service: 's',
    address: '127.0.0.1:1',
    availabilityZone: 'a',
    slots: 4,
    draining: false,
  });

  beforeEach(() => {
    clock = new virtualClock.VirtualClock();
    const random = new seededRandom.SeededRandom(7);
    const directory = new endpointDirectory.EndpointDirectory();
    calls = [];
    plans = [];
    planned = [];
    cancelled = 0;
    const caller: types.IEndpointCaller = {
      send: (call) => {
        calls.push(call);
        const result = script(call);
        let fail: (err: Error) => void = () => {};
        const answer = new Promise<types.IEndpointAnswer>((resolve, reject) => {
          fail = reject;
          if (result instanceof types.EndpointCallError) {
            reject(result);
          } else if (result !== 'silent') {
            resolve(result);
          }
        });
        return {
          answer,
          cancel: () => {
            cancelled += 1;
            fail(new types.EndpointCallError('cancelled', true));
          },
        };
      },
    };
    const planner: coordination.IPlanner = {
      plan: async (req) => {
        plans.push(req);
        return planned.shift() as coordination.PlanOutcome;
      },
      again: async () => planned.shift() as coordination.PlanOutcome,
      cancel: () => {},
      started: () => {},
      ended: () => {},
    };
    const limits = { ratio: 0.2, window: 10_000, slack: 100 };
    gateway = new gateways.Gateway({
      clock,
      random,
      caller,
      planner,
      balancer: new serviceBalancer.ServiceBalancer(directory, clock, random, 'a'),
      budget: new retryBudget.RetryBudget(limits, clock, () => 1),
      logService: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
      entryVmCount: () => 1,
    });
    directory.replace({ revision: 1, endpoints: [endpoint('e1'), endpoint('e2'), endpoint('e3')] });
    gateway.configure({
      version: 2,
      routes: [
        ROUTE,
        { ...ROUTE, name: 'write', prefix: '/write/', kind: 'unsafe' },
        {
          ...ROUTE,
          name: 'tell',
          prefix: '/tell/',
          kind: 'stream',
          resumable: true,
          targets: [{ service: 'm', weight: 1 }],
        },
      ],
      services: new Map([
        ['s', { name: 's', maxConnections: 10 }],
        ['m', { name: 'm', maxConnections: 10, engine: { slots: 4, cacheTokens: 1000 } }],
      ]),
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
    });
  });

  async function request(target: string, span = 2000): Promise<FakeResponder> {
    const responder = new FakeResponder();
    gateway.handle(
      {
        id: 'r',
        method: 'POST',
        target,
        host: 'a',
        headers: [],
        body: Buffer.alloc(0),
        arrivedAt: clock.monotonic(),
        apiKey: undefined,
        callerTimeout: 1500,
        lastEventId: undefined,
        prompt: undefined,
        pieces: [],
        pieceKey: '',
      },
      responder,
    );
    await clock.advance(span);
    return responder;
  }

  test('sends an unsafe request once, and promises nothing, when its answer is lost', async () => {
    script = () => new types.EndpointCallError('reset', true);
    const responder = await request('/write/x');
    expect(calls).toHaveLength(1);
    expect(responder.outcome).toBe('endpoint-failed');
  });

  test('sends an unsafe request on when the endpoint did not run it', async () => {
    script = () => (calls.length < 3 ? answerOf(503, '', { isNotRun: true }) : answerOf(200, 'ok'));
    const responder = await request('/write/x');
    expect(responder.text).toBe('ok');
    expect(new Set(calls.map((call) => call.endpoint.id)).size).toBe(3);
  });

  test('promises that nothing ran only when nothing did', async () => {
    script = () => answerOf(503, '', { isNotRun: true });
    expect((await request('/write/x')).outcome).toBe('overloaded');
    script = () => 'silent';
    expect((await request('/write/x')).outcome).toBe('timed-out');
  });

  test('repeats a safe request after a failure, on no more endpoints than allowed', async () => {
    script = () => (calls.length === 1 ? answerOf(500, 'no') : answerOf(200, 'ok'));
    expect((await request('/read/x')).text).toBe('ok');
    calls = [];
    script = () => answerOf(500, 'no');
    expect((await request('/read/x')).outcome).toBe('500');
    expect(calls).toHaveLength(2);
  });

  test('asks a second endpoint beside one that is silent, and stops the first', async () => {
    script = () => (calls.length === 1 ? 'silent' : answerOf(200, 'ok'));
    const responder = await request('/read/x');
    expect(responder.text).toBe('ok');
    expect(cancelled).toBe(1);
  });

  test('takes a body that is not whole for no answer', async () => {
    script = () =>
      calls.length === 1 ? answerOf(200, 'par', { isComplete: () => false }) : answerOf(200, 'ok');
    expect((await request('/read/x')).text).toBe('ok');
    calls = [];
    script = () => answerOf(200, 'par', { isComplete: () => false });
    expect((await request('/write/x')).outcome).toBe('endpoint-failed');
  });

  test('stops the endpoint when the caller has left', async () => {
    script = () => 'silent';
    const responder = await request('/write/x', 100);
    responder.leave();
    await clock.advance(0);
    expect(cancelled).toBe(1);
    expect(gateway.openRequests).toBe(0);
  });

  test('joins a cut stream at the event after the last that was passed on', async () => {
    const ready = (id: string): coordination.PlanOutcome => ({
      kind: 'ready',
      endpoint: { ...endpoint(id), service: 'm' },
      inputs: [],
    });
    planned = [ready('m1'), ready('m2')];
    script = (call) =>
      call.endpoint.id === 'm1'
        ? answerOf(200, 'id: 1\ndata: a\n\nid: 2\nda', { isComplete: () => false })
        : answerOf(200, 'id: 2\ndata: b\n\n');
    const responder = await request('/tell/x');
    expect(responder).toMatchObject({
      outcome: 'whole',
      text: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
    });
    expect(calls.map((call) => call.lastEventId)).toEqual([undefined, '1']);
  });

  test('hands a refusal of the planner on at once, with its time to come back', async () => {
    planned = [{ kind: 'refused', reason: 'overloaded', retryAfter: 700 }];
    const responder = await request('/tell/x', 0);
    expect(responder).toMatchObject({ outcome: 'overloaded', retryAfter: 700 });
    expect(calls).toEqual([]);
  });

  test('plans again when a plan was lost with its coordinator', async () => {
    planned = [
      { kind: 'refused', reason: 'lost', retryAfter: 100 },
      { kind: 'refused', reason: 'too-late', retryAfter: 100 },
    ];
    const responder = await request('/tell/x');
    expect(plans.map((plan) => plan.planId)).toEqual(['r#1', 'r#2']);
    expect(responder.outcome).toBe('too-late');
  });

  test('never goes back to an older configuration', () => {
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
    gateway.configure({ version: 1, routes: [], services: new Map(), limits });
    expect(gateway.version).toBe(2);
    expect(gateway.hasRoute('a', '/read/x')).toBe(true);
  });
});
