import * as stream from 'node:stream';
import * as vitest from 'vitest';
import type * as blameTable from '../blame/BlameTable.js';
import * as blame from '../blame/testing/Blame.js';
import * as fakeBlameLink from '../blame/testing/FakeBlameLink.js';
import * as fakeCrashConfirmer from '../blame/testing/FakeCrashConfirmer.js';
import * as seededRandom from '../common/SeededRandom.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as streamVersions from '../coordination/StreamVersions.js';
import type * as coordination from '../coordination/Types.js';
import type * as rateLimits from '../ratelimit/Types.js';
import * as rooms from '../room/testing/Rooms.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import * as gateways from './Gateway.js';
import * as plainQuarantine from './PlainQuarantine.js';
import * as retryBudget from './RetryBudget.js';
import * as serviceBalancer from './ServiceBalancer.js';
import * as ampleBodies from './testing/AmpleBodies.js';
import * as types from './Types.js';

const { beforeEach, describe, expect, test } = vitest;

/** Permits for endpoints whose limits a test sets: the number of permits left, or none for an unlimited endpoint. */
class FakePermits implements rateLimits.IPermitService {
  readonly left = new Map<string, number>();

  /** Time until the next permit, once one was refused. */
  delay = 700;

  private readonly refused = new Set<string>();

  isLimited(endpointId: string): boolean {
    return this.left.has(endpointId);
  }

  delayOf(endpointId: string): number {
    return this.refused.has(endpointId) ? this.delay : 0;
  }

  acquire(endpointId: string): boolean | Promise<boolean> {
    const left = this.left.get(endpointId);
    if (left === undefined) {
      return true;
    }
    this.left.set(endpointId, Math.max(0, left - 1));
    if (left === 0) {
      this.refused.add(endpointId);
    }
    return Promise.resolve(left > 0);
  }
}

type Reply = types.IEndpointAnswer | types.EndpointCallError;

/** Decides how the fake endpoint responds to a call; `silent` leaves the call open. */
type ReplyFn = (call: types.IEndpointCall) => Reply | Promise<Reply> | 'silent';

function answerOf(
  status: number,
  body: string,
  change: Partial<types.IEndpointAnswer> = {},
): types.IEndpointAnswer {
  return {
    status,
    headers: [],
    isGenuine: true,
    mediaType: '',
    isFramed: true,
    isNotRun: false,
    looksNotRun: false,
    isWrongEndpoint: false,
    namesRateLimit: false,
    load: undefined,
    body: stream.Readable.from([Buffer.from(body)]),
    isComplete: () => true,
    bodyEnd: () => 'framed',
    ...change,
  };
}

class FakeResponder implements types.IResponder {
  isDisconnected = false;

  text = '';

  outcome = 'none';

  retryAfter: number | undefined;

  private disconnectListener: ((cause: types.DisconnectCause) => void) | undefined;

  onDisconnect(listener: (cause: types.DisconnectCause) => void): void {
    this.disconnectListener = listener;
  }

  disconnect(): void {
    this.isDisconnected = true;
    this.disconnectListener?.('caller-closed');
  }

  limitSending(): void {}

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
  let isConfirmed: boolean;
  let gateway: gateways.Gateway;
  let calls: types.IEndpointCall[];
  let cancelCount: number;
  /** Endpoints of the cancelled calls. */
  let cancelled: Set<string>;
  let permits: FakePermits;
  let crashes: blameTable.BlameTable;
  let streams: streamVersions.StreamVersions;
  let testRooms: rooms.ITestRooms;
  let confirmer: fakeCrashConfirmer.FakeCrashConfirmer;
  let blameLink: fakeBlameLink.FakeBlameLink;
  let cancelledPlans: string[];
  let startedPlans: string[];
  let failedEngines: (string | undefined)[];
  let metrics: recordingMetrics.RecordingMetricsService;
  let log: recordingLog.RecordingLogService;
  let reply: ReplyFn;
  let plans: coordination.IPlanRequest[];
  let planOutcomes: coordination.PlanOutcome[];
  /** Answer to a request for a second engine, and what the planner was told of each. */
  let secondEngine: routing.IEndpoint | undefined | Promise<routing.IEndpoint | undefined>;
  let hedges: string[];
  let budget: retryBudget.RetryBudget;
  let configVersion: number;
  let directory: endpointDirectory.EndpointDirectory;
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
    directory = new endpointDirectory.EndpointDirectory();
    calls = [];
    plans = [];
    planOutcomes = [];
    cancelCount = 0;
    cancelled = new Set();
    configVersion = 1;
    secondEngine = undefined;
    hedges = [];
    const caller: types.IEndpointCaller = {
      hasLostPath: async () => false,
      isPathInDoubt: () => false,
      isOpen: (target) => directory.isOpen(target),
      send: (call) => {
        calls.push(call);
        const result = reply(call);
        let rejectAnswer: (err: Error) => void = () => {};
        const answer = new Promise<types.IEndpointAnswer>((resolve, reject) => {
          rejectAnswer = reject;
          const settle = (value: Reply): void =>
            value instanceof types.EndpointCallError ? reject(value) : resolve(value);
          if (result instanceof Promise) {
            void result.then(settle);
          } else if (result !== 'silent') {
            settle(result);
          }
        });
        return {
          answer,
          cancel: () => {
            cancelCount += 1;
            cancelled.add(call.endpoint.id);
            rejectAnswer(new types.EndpointCallError('cancelled', true));
          },
        };
      },
    };
    const planner: coordination.IPlanner = {
      plan: async (req) => {
        plans.push(req);
        return planOutcomes.shift() as coordination.PlanOutcome;
      },
      reassign: async () => planOutcomes.shift() as coordination.PlanOutcome,
      hedge: async (planId) => {
        hedges.push(`ask ${planId}`);
        return secondEngine;
      },
      settleHedge: (planId, { winner, failed }) =>
        hedges.push(`${planId} ${winner}${failed ? ` ${failed.endpoint}-${failed.failure}` : ''}`),
      cancel: (planId) => cancelledPlans.push(planId),
      markStarted: (planId, isSuccess) => startedPlans.push(`${planId} ${isSuccess}`),
      markEnded: (planId, failed) => failedEngines.push(failed),
    };
    isConfirmed = true;
    const limits = { ratio: 0.2, window: 10_000, slack: 100 };
    permits = new FakePermits();
    crashes = blame.makeTable(clock);
    cancelledPlans = [];
    startedPlans = [];
    failedEngines = [];
    metrics = new recordingMetrics.RecordingMetricsService();
    log = new recordingLog.RecordingLogService();
    confirmer = new fakeCrashConfirmer.FakeCrashConfirmer();
    blameLink = new fakeBlameLink.FakeBlameLink();
    streams = new streamVersions.StreamVersions(clock);
    testRooms = rooms.makeRooms(clock, directory);
    budget = new retryBudget.RetryBudget(limits, clock, () => 1);
    gateway = new gateways.Gateway({
      clock,
      random,
      caller,
      planner,
      permits,
      rooms: testRooms.rooms,
      blameTable: crashes,
      quarantine: new plainQuarantine.PlainQuarantine({
        clock,
        blameTable: crashes,
        crashConfirmer: confirmer,
        blameLink,
        logService: log,
        metrics,
      }),
      balancer: new serviceBalancer.ServiceBalancer(directory, clock, random, 'a', permits),
      streams,
      budget,
      memory: ampleBodies.ampleBodies(clock),
      logService: log,
      metrics,
      entryVmCount: () => 1,
      isConfigurationCurrent: () => isConfirmed,
    });
    directory.replace({ revision: 1, endpoints: [endpoint('e1'), endpoint('e2'), endpoint('e3')] });
    configureChat({});
  });

  /** Puts a configuration in force whose route for streams differs by `change`. */
  function configureChat(change: Partial<routing.IRoute>): void {
    configVersion += 1;
    gateway.configure({
      version: configVersion,
      routes: [
        ROUTE,
        { ...ROUTE, name: 'write', prefix: '/write/', kind: 'unsafe' },
        {
          ...ROUTE,
          name: 'chat',
          prefix: '/chat/',
          kind: 'stream',
          resumable: true,
          targets: [{ service: 'm', weight: 1 }],
          ...change,
        },
      ],
      services: new Map([
        ['s', { name: 's', maxConnections: 10 }],
        ['m', { name: 'm', maxConnections: 10, engine: { slots: 4, cacheTokens: 1000 } }],
      ]),
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
    });
  }

  /** Sends a request and advances the clock by `waitMs`. */
  async function request(
    target: string,
    waitMs = 2000,
    change: Partial<types.IIncomingRequest> = {},
    responder = new FakeResponder(),
  ): Promise<FakeResponder> {
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
        continuedId: undefined,
        prompt: undefined,
        pieces: [],
        pieceKey: '',
        ...change,
      },
      responder,
    );
    await clock.advance(waitMs);
    return responder;
  }

  /** Makes each endpoint crash some time after it got a request. */
  function crashAll(): void {
    reply = async ({ endpoint: { id } }) => {
      await clock.sleep(50);
      confirmer.crashed.add(id);
      return new types.EndpointCallError('reset', true);
    };
  }

  test.each([
    ['safe', '/read/deadly', 1],
    ['unsafe', '/write/deadly', 2],
  ])('refuses a %s request after two endpoints crashed under it', async (_, target, sendings) => {
    crashAll();
    for (let count = 0; count < sendings; count++) {
      expect((await request(target)).outcome).toBe('endpoint-failed');
    }
    expect(calls).toHaveLength(2);
    const refused = await request(target);
    expect(refused.outcome).toBe('quarantined');
    expect(refused.retryAfter).toBeGreaterThan(0);
    reply = () => answerOf(200, 'ok');
    expect((await request(target, 2000, { body: Buffer.from('other') })).outcome).toBe('200');
    expect(calls).toHaveLength(3);
  });

  test('blames no request for broken answers of endpoints that are up', async () => {
    reply = () => new types.EndpointCallError('reset', true);
    await request('/read/x');
    await request('/read/x');
    expect((await request('/read/x')).outcome).toBe('endpoint-failed');
  });

  test('does not blame a request that succeeds while other requests crash endpoints', async () => {
    reply = () => answerOf(200, 'ok');
    await request('/read/sound');
    crashAll();
    await Promise.all(['/read/sound', '/read/deadly'].map((target) => request(target)));
    reply = () => answerOf(200, 'ok');
    expect((await request('/read/sound')).outcome).toBe('200');
    expect((await request('/read/deadly')).outcome).toBe('quarantined');
  });

  test('asks the coordinator for a trial after the quarantine, and refuses without an answer', async () => {
    crashAll();
    await request('/read/deadly');
    reply = () => answerOf(200, 'ok');
    await clock.advance(61_000);
    blameLink.decideTrial = () => 'silent';
    expect((await request('/read/deadly')).outcome).toBe('quarantined');
    blameLink.decideTrial = () => ({ trait: 't', retryAfter: 700 });
    expect((await request('/read/deadly')).retryAfter).toBe(700);
    blameLink.isConnected = false;
    expect((await request('/read/deadly')).outcome).toBe('quarantined');
    blameLink.isConnected = true;
    blameLink.decideTrial = () => undefined;
    expect((await request('/read/deadly')).outcome).toBe('200');
    expect(blameLink.requestedTrials).toHaveLength(3);
    expect((await request('/read/deadly')).outcome).toBe('200');
    expect(blameLink.requestedTrials).toHaveLength(3);
  });

  test('sends an unsafe request once if the response is lost, and reports an endpoint failure', async () => {
    reply = () => new types.EndpointCallError('reset', true);
    const responder = await request('/write/x');
    expect(calls).toHaveLength(1);
    expect(responder.outcome).toBe('endpoint-failed');
  });

  test.each([
    ['read', true],
    ['write', false],
  ])('tells for route %s whether a request that is lost may be repeated', async (name, is) => {
    reply = () => answerOf(200, 'ok');
    await request(`/${name}/x`);
    expect(calls.map(({ isRepeatable }) => isRepeatable)).toEqual([is]);
  });

  test('sends an unsafe request to another endpoint if the first did not execute it', async () => {
    reply = () => (calls.length < 3 ? answerOf(503, '', { isNotRun: true }) : answerOf(200, 'ok'));
    const responder = await request('/write/x');
    expect(responder.text).toBe('ok');
    expect(new Set(calls.map((call) => call.endpoint.id)).size).toBe(3);
  });

  test('reports a request as not executed only if no endpoint can have executed it', async () => {
    reply = () => answerOf(503, '', { isNotRun: true });
    expect((await request('/write/x')).outcome).toBe('overloaded');
    reply = () => 'silent';
    expect((await request('/write/x')).outcome).toBe('timed-out');
  });

  test('retries a safe request after a server error, within the limit of the route', async () => {
    reply = () => (calls.length === 1 ? answerOf(500, 'no') : answerOf(200, 'ok'));
    expect((await request('/read/x')).text).toBe('ok');
    calls = [];
    reply = () => answerOf(500, 'no');
    expect((await request('/read/x')).outcome).toBe('500');
    expect(calls).toHaveLength(2);
  });

  test('hedges a safe request if the endpoint does not reply, and cancels the slower call', async () => {
    reply = () => (calls.length === 1 ? 'silent' : answerOf(200, 'ok'));
    const responder = await request('/read/x');
    expect(responder.text).toBe('ok');
    expect(cancelCount).toBe(1);
  });

  test('treats a truncated body as a lost response', async () => {
    reply = () =>
      calls.length === 1 ? answerOf(200, 'par', { isComplete: () => false }) : answerOf(200, 'ok');
    expect((await request('/read/x')).text).toBe('ok');
    calls = [];
    reply = () => answerOf(200, 'par', { isComplete: () => false });
    expect((await request('/write/x')).outcome).toBe('endpoint-failed');
  });

  test('answers the requests that are open when the process exits', async () => {
    reply = () => 'silent';
    const sent = await request('/write/x', 10);
    planOutcomes = [new Promise(() => {}) as never];
    const before = await request('/chat/x', 10);
    gateway.endOpenRequests();
    expect([sent.outcome, before.outcome]).toEqual(['endpoint-failed', 'draining']);
    expect(gateway.openRequests).toBe(0);
    expect(cancelCount).toBe(1);
  });

  test.each([
    ['/write/x', 'endpoint-failed'],
    ['/read/x', '503'],
  ])('passes on no promise that an endpoint does not make, for %s', async (target, outcome) => {
    reply = () => answerOf(503, 'failed', { looksNotRun: true });
    expect((await request(target)).outcome).toBe(outcome);
  });

  test.each([
    [false, 'endpoint-failed'],
    [true, '503'],
  ])(
    'passes on no promise that an engine does not make, for a stream with resumable %s',
    async (resumable, outcome) => {
      configureChat({ resumable });
      planOutcomes = [{ kind: 'ready', endpoint: endpoint('e1'), inputs: [] }];
      reply = () => answerOf(503, 'failed', { looksNotRun: true });
      expect((await request('/chat/x')).outcome).toBe(outcome);
    },
  );

  test('sends nothing for a request whose deadline passed before its turn', async () => {
    const arrivedAt = clock.monotonic();
    await clock.advance(1500);
    reply = () => answerOf(200, 'late');
    const { outcome } = await request('/write/x', 10, { arrivedAt });
    expect({ outcome, sent: calls.length }).toEqual({ outcome: 'overloaded', sent: 0 });
  });

  test('cancels the call if the caller disconnects', async () => {
    reply = () => 'silent';
    const responder = await request('/write/x', 100);
    responder.disconnect();
    await clock.advance(0);
    expect(cancelCount).toBe(1);
    expect(gateway.openRequests).toBe(0);
  });

  test('survives a call that throws on a safe route, and answers its caller', async () => {
    const errors: unknown[] = [];
    const record = (err: unknown): void => {
      errors.push(err);
    };
    const others = process.listeners('unhandledRejection');
    process.removeAllListeners('unhandledRejection');
    process.on('unhandledRejection', record);
    reply = () => {
      throw new TypeError('Invalid character in header content ["Workspace"]');
    };
    const responder = await request('/read/x');
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    process.removeListener('unhandledRejection', record);
    others.forEach((listener) => process.on('unhandledRejection', listener));
    expect(errors).toEqual([]);
    expect(responder.outcome).toBe('internal');
  });

  test('rejects a request if the head of its response cannot be written, rather than close the connection', async () => {
    planOutcomes = [{ kind: 'ready', endpoint: { ...endpoint('m1'), service: 'm' }, inputs: [] }];
    reply = () => answerOf(99, 'data: a\n\n');
    const responder = new FakeResponder();
    // As CallerResponder does: Node refuses to write this status.
    responder.begin = () => {
      throw new RangeError('Invalid status code: 99');
    };
    await request('/chat/x', 2000, {}, responder);
    expect(responder.outcome).not.toBe('cut');
    expect(responder.outcome).not.toBe('none');
  });

  test('does not log the call of a caller that left as lost by its endpoint', async () => {
    reply = () => 'silent';
    const responder = await request('/write/x', 100);
    responder.disconnect();
    await clock.advance(10);
    const ends = log.events.filter(({ event }) => event === 'sending-ended');
    expect(ends.map(({ fields }) => fields.end)).not.toContain('lost');
  });

  test('leaves a line with the id of a request whose caller leaves while it waits for its plan', async () => {
    // The fake planner never settles this plan.
    planOutcomes = [new Promise<never>(() => {}) as unknown as coordination.PlanOutcome];
    const responder = await request('/chat/x', 100);
    responder.disconnect();
    await clock.advance(10);
    expect(gateway.openRequests).toBe(0);
    expect(log.events.filter(({ fields }) => fields.request === 'r')).not.toEqual([]);
  });

  test('rejects a request once if it times out in the pause before its next plan', async () => {
    const lost = { kind: 'refused', reason: 'lost', retryAfter: 60 } as const;
    planOutcomes = [clock.sleep(980).then(() => lost) as unknown as coordination.PlanOutcome];
    await request('/chat/x');
    const refusals = [...metrics.counters].filter(([key]) => key.startsWith('refused'));
    expect(refusals).toEqual([['refused{reason=timed-out}', 1]]);
    expect(log.events.filter(({ event }) => event === 'rejected')).toEqual([]);
  });

  test('resumes a broken stream after the last event that was forwarded', async () => {
    const ready = (id: string): coordination.PlanOutcome => ({
      kind: 'ready',
      endpoint: { ...endpoint(id), service: 'm' },
      inputs: [],
    });
    planOutcomes = [ready('m1'), ready('m2')];
    reply = (call) =>
      call.endpoint.id === 'm1'
        ? answerOf(200, 'id: 1\ndata: a\n\nid: 2\nda', { isComplete: () => false })
        : answerOf(200, 'id: 2\ndata: b\n\n');
    const responder = await request('/chat/x');
    expect(responder).toMatchObject({
      outcome: 'whole',
      text: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
    });
    expect(calls.map((call) => call.lastEventId)).toEqual([undefined, '1']);
  });

  test('forwards a refusal of the planner at once, with its retry delay', async () => {
    planOutcomes = [{ kind: 'refused', reason: 'overloaded', retryAfter: 700 }];
    const responder = await request('/chat/x', 0);
    expect(responder).toMatchObject({ outcome: 'overloaded', retryAfter: 700 });
    expect(calls).toEqual([]);
  });

  test('replaces a plan that was lost with its coordinator', async () => {
    planOutcomes = [
      { kind: 'refused', reason: 'lost', retryAfter: 100 },
      { kind: 'refused', reason: 'too-late', retryAfter: 100 },
    ];
    const responder = await request('/chat/x');
    expect(plans.map((plan) => plan.planId)).toEqual(['r#1', 'r#2']);
    expect(responder.outcome).toBe('too-late');
  });

  test('sends a request elsewhere when an endpoint has no permit left', async () => {
    reply = () => answerOf(200, 'ok');
    ['e1', 'e2'].forEach((id) => permits.left.set(id, 0));
    for (let count = 0; count < 10; count++) {
      expect((await request('/write/x')).text).toBe('ok');
    }
    expect(new Set(calls.map((call) => call.endpoint.id))).toEqual(new Set(['e3']));
  });

  test('sends no more requests to an endpoint than it has permits, retries included', async () => {
    reply = () => answerOf(500, 'no');
    ['e1', 'e2', 'e3'].forEach((id) => permits.left.set(id, 2));
    for (let count = 0; count < 6; count++) {
      await request('/read/x');
    }
    ['e1', 'e2', 'e3'].forEach((id) =>
      expect(calls.filter((call) => call.endpoint.id === id)).toHaveLength(2),
    );
  });

  test('rejects a request at once, with the time until the next permit, when there is none', async () => {
    reply = () => answerOf(200, 'ok');
    ['e1', 'e2', 'e3'].forEach((id) => permits.left.set(id, 0));
    const responder = await request('/write/x', 0);
    expect(responder).toMatchObject({ outcome: 'overloaded', retryAfter: 700 });
    expect(calls).toEqual([]);
  });

  test('leaves the permits of limited endpoints to first attempts, not to hedged ones', async () => {
    reply = () => 'silent';
    ['e1', 'e2', 'e3'].forEach((id) => permits.left.set(id, 10));
    await request('/read/x');
    expect(calls).toHaveLength(1);
  });

  test('does not eject an endpoint that rejects a request because of its rate limit', async () => {
    reply = ({ endpoint: { id } }) =>
      id === 'e1'
        ? answerOf(503, '', { isNotRun: true, namesRateLimit: true })
        : answerOf(200, 'ok');
    ['e2', 'e3'].forEach((id) => permits.left.set(id, 0));
    await request('/write/x', 100);
    await request('/write/x', 100);
    expect(calls.map((call) => call.endpoint.id)).toEqual(['e1', 'e1']);
  });

  test('sends nothing when the caller disconnects before the permit comes', async () => {
    reply = () => answerOf(200, 'ok');
    let grant: (isGranted: boolean) => void = () => {};
    permits.acquire = () =>
      new Promise((resolve) => {
        grant = resolve;
      });
    const responder = await request('/write/x', 0);
    responder.disconnect();
    grant(true);
    await clock.advance(100);
    expect(calls).toEqual([]);
    expect(gateway.openRequests).toBe(0);
  });

  test('counts each refusal, retry and hedged attempt with its reason', async () => {
    const counted = (): Record<string, number> => Object.fromEntries(metrics.counters);
    reply = () => answerOf(503, '', { isNotRun: true });
    await request('/write/x');
    expect(counted()).toEqual({ 'refused{reason=overloaded}': 1, 'retry{reason=not-run}': 2 });
    metrics.counters.clear();
    calls = [];
    reply = () => (calls.length === 1 ? 'silent' : answerOf(200, 'ok'));
    await request('/read/x');
    expect(counted()).toEqual({ 'retry{reason=hedged}': 1 });
    metrics.counters.clear();
    planOutcomes = [{ kind: 'refused', reason: 'too-late', retryAfter: 700 }];
    await request('/chat/x');
    expect(counted()).toEqual({ 'refused{reason=too-late}': 1 });
  });

  describe('with a quarantined prompt part', () => {
    const prompt = {
      parts: ['first', 'deadly', 'own'].map((id) => ({ id, tokens: 1 })),
      tokensIn: 3,
      tokensOut: 1,
    };
    const sound = { ...prompt, parts: ['first', 'own'].map((id) => ({ id, tokens: 1 })) };
    const ready = (id: string): coordination.PlanOutcome => ({
      kind: 'ready',
      endpoint: { ...endpoint(id), service: 'm' },
      inputs: [],
    });

    /** An engine crashes under a request with the part. */
    function crash(id: string): void {
      const at = clock.monotonic();
      const suspects = [{ request: id, parts: ['part:m/deadly'], placedAt: at - 10 }];
      crashes.recordCrash({ id, endpointId: 'm9', at, suspects });
    }

    async function quarantine(): Promise<void> {
      crash('c1');
      await clock.advance(1500);
      crash('c2');
    }

    test('refuses its requests before planning, with the time left, and no others', async () => {
      await quarantine();
      planOutcomes = [ready('m1')];
      reply = () => answerOf(200, 'id: 1\ndata: a\n\n');
      const responder = await request('/chat/x', 0, { prompt });
      expect(responder).toMatchObject({ outcome: 'quarantined', retryAfter: 60_000 });
      expect([plans, calls]).toEqual([[], []]);
      expect(metrics.counters.get('refused{reason=quarantined}')).toBe(1);
      expect(log.events.find(({ event }) => event === 'rejected')?.fields).toMatchObject({
        request: 'r',
        reason: 'quarantined',
        trait: 'part:m/deadly',
      });
      expect((await request('/chat/x', 100, { prompt: sound })).outcome).toBe('whole');
    });

    test('cancels a call that waits for its first event, and does not call it not run', async () => {
      planOutcomes = [ready('m1'), ready('m2')];
      reply = () => 'silent';
      crash('c1');
      await clock.advance(1500);
      const responder = await request('/chat/x', 100, { prompt });
      expect([calls.length, responder.outcome]).toEqual([1, 'none']);
      crash('c2');
      await clock.advance(0);
      expect(responder.outcome).toBe('endpoint-failed');
      expect([calls.length, cancelCount]).toEqual([1, 1]);
      expect(cancelledPlans).toEqual(['r#1']);
      // The engine did not fail.
      expect(failedEngines).toEqual([]);
    });

    test('breaks off an answer without an event, and no other one', async () => {
      planOutcomes = [ready('m1'), ready('m1'), ready('m1')];
      const bodies: stream.PassThrough[] = [];
      reply = () => {
        const body = new stream.PassThrough();
        bodies.push(body);
        return answerOf(200, '', { body });
      };
      crash('c1');
      await clock.advance(1500);
      const headOnly = await request('/chat/x', 50, { prompt });
      const withEvent = await request('/chat/x', 50, { prompt });
      bodies[1]?.write('id: 1\ndata: a\n\n');
      const other = await request('/chat/x', 50, { prompt: sound });
      crash('c2');
      bodies[0]?.destroy(new Error('cancelled'));
      await clock.advance(100);
      expect(headOnly.outcome).toBe('cut');
      expect([withEvent, other].map(({ outcome }) => outcome)).toEqual(['begun', 'begun']);
      bodies.slice(1).forEach((body) => body.end());
      await clock.advance(100);
      expect([withEvent, other].map(({ outcome }) => outcome)).toEqual(['whole', 'whole']);
      expect(calls).toHaveLength(3);
    });

    test('does not send a request again once its part is quarantined', async () => {
      planOutcomes = [ready('m1'), ready('m2')];
      crash('c1');
      await clock.advance(1500);
      reply = () => {
        crash('c2');
        return new types.EndpointCallError('reset', true);
      };
      const responder = await request('/chat/x', 100, { prompt });
      expect(responder.outcome).toBe('endpoint-failed');
      expect(calls).toHaveLength(1);
    });

    test('sends a request that waits for its plan to no engine, and says so', async () => {
      crash('c1');
      await clock.advance(1500);
      const { length } = calls;
      const pending = request('/chat/x', 0, { prompt });
      planOutcomes = [ready('m1')];
      crash('c2');
      expect((await pending).outcome).toBe('quarantined');
      expect(calls).toHaveLength(length);
    });

    test('tells the planner whether the first bytes are of a success, and names the request', async () => {
      planOutcomes = [ready('m1'), ready('m1'), ready('m1')];
      reply = () => (calls.length === 1 ? answerOf(504, 'late') : answerOf(200, 'id: 1\n\n'));
      await request('/chat/x', 100, { prompt });
      await request('/chat/x', 100, { prompt });
      await request('/chat/y', 100, { prompt });
      expect(startedPlans).toEqual(['r#1 false', 'r#1 true', 'r#1 true']);
      const fingerprints = plans.map(({ fingerprint }) => fingerprint);
      expect(fingerprints[0]).toBe(fingerprints[1]);
      expect(fingerprints[2]).not.toBe(fingerprints[1]);
    });
  });

  describe('while a newer configuration may be in force elsewhere', () => {
    const workspaces = [{ name: 'w', keys: ['known'] }];

    beforeEach(() => {
      const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
      const services = new Map([['s', { name: 's', maxConnections: 10 }]]);
      const routes = [{ ...ROUTE, isPublic: false }];
      gateway.configure({ version: 3, routes, services, limits, workspaces });
      reply = () => answerOf(200, 'ok');
    });

    test.each([
      ['an unknown route', '/added/x', 'known', 'no-route'],
      ['an unknown key', '/read/x', 'added', 'bad-key'],
    ])('does not deny a request with %s for good', async (_, target, apiKey, denial) => {
      isConfirmed = false;
      const refused = await request(target, 0, { apiKey });
      expect(refused.outcome).toBe('config-unconfirmed');
      expect(refused.retryAfter).toBeGreaterThan(0);
      isConfirmed = true;
      expect((await request(target, 0, { apiKey })).outcome).toBe(denial);
      expect(calls).toHaveLength(0);
    });

    test('serves the requests that its own configuration allows', async () => {
      isConfirmed = false;
      expect((await request('/read/x', 2000, { apiKey: 'known' })).outcome).toBe('200');
    });
  });

  describe('while zones are out of service', () => {
    beforeEach(() => {
      const spread = [endpoint('e1'), { ...endpoint('e2'), availabilityZone: 'b' }];
      directory.replace({ revision: 2, endpoints: spread });
    });

    test('refuses a request at once, with a delay, if all endpoints are in them', async () => {
      directory.closeZones({ revision: 1, zones: ['a', 'b'] });
      const responder = await request('/read/', 0);
      expect(responder).toMatchObject({ outcome: 'no-endpoint', retryAfter: 1000 });
      expect(calls).toEqual([]);
    });

    test.each(['/read/', '/write/'])('retries nothing there after %s', async (target) => {
      reply = () => {
        directory.closeZones({ revision: 1, zones: ['a', 'b'] });
        return answerOf(503, '', { isNotRun: true });
      };
      expect((await request(target)).outcome).toBe('no-endpoint');
      expect(calls).toHaveLength(1);
    });

    test('hedges nothing there', async () => {
      reply = () => {
        directory.closeZones({ revision: 1, zones: ['a', 'b'] });
        return 'silent';
      };
      await request('/read/');
      expect(calls).toHaveLength(1);
    });

    test('sends nothing there on a permit that was awaited when the zone closed', async () => {
      reply = () => answerOf(200, 'ok');
      let grant: (isGranted: boolean) => void = () => {};
      permits.acquire = (id) =>
        id === 'e2' ||
        new Promise((resolve) => {
          grant = resolve;
        });
      directory.closeZones({ revision: 1, zones: ['b'] });
      const responder = await request('/write/', 0);
      directory.closeZones({ revision: 2, zones: ['a'] });
      grant(true);
      await clock.advance(100);
      expect(calls.map((call) => call.endpoint.id)).toEqual(['e2']);
      expect(responder.outcome).toBe('200');
    });

    test('has a planned engine there replaced before the send', async () => {
      const closed = { ...endpoint('m1'), service: 'm', availabilityZone: 'b' };
      const open = { ...endpoint('m2'), service: 'm' };
      planOutcomes = [closed, open].map((each) => ({ kind: 'ready', endpoint: each, inputs: [] }));
      directory.closeZones({ revision: 1, zones: ['b'] });
      reply = () => answerOf(200, 'ok');
      await request('/chat/');
      expect(calls.map((call) => call.endpoint.id)).toEqual(['m2']);
      expect(metrics.counters.get('retry{reason=closed}')).toBe(1);
    });

    test('lets requests there end, and sends there again once the zone returns', async () => {
      reply = () => answerOf(200, 'ok');
      const running = await request('/read/', 0);
      directory.closeZones({ revision: 1, zones: ['a', 'b'] });
      await clock.advance(100);
      expect(running.outcome).toBe('200');
      directory.closeZones({ revision: 2, zones: [] });
      expect((await request('/read/')).outcome).toBe('200');
    });
  });

  describe('with a second engine for late requests', () => {
    const engine = (id: string): routing.IEndpoint => ({ ...endpoint(id), service: 'm' });

    function offer(...ids: string[]): void {
      planOutcomes = ids.map((id) => ({
        kind: 'ready',
        endpoint: engine(id),
        inputs: ['h'],
        hedgeAfter: 100,
      }));
    }

    /** Endpoints that were called, and which response the caller got. */
    function seen(responder: FakeResponder): readonly string[] {
      return [...calls.map((call) => call.endpoint.id), responder.outcome];
    }

    beforeEach(() => {
      offer('m1');
      secondEngine = engine('m2');
      reply = ({ endpoint: { id } }) =>
        id === 'm2' ? answerOf(200, `id: 1\ndata: ${id}\n\n`) : 'silent';
    });

    test('sends a late request there too, and passes on one answer', async () => {
      const responder = await request('/chat/x', 99);
      expect(seen(responder)).toEqual(['m1', 'none']);
      await clock.advance(1);
      expect(seen(responder)).toEqual(['m1', 'm2', 'whole']);
      expect(responder.text).toBe('id: 1\ndata: m2\n\n');
      expect(cancelled).toContain('m1');
      expect([calls[1]?.inputs, hedges]).toEqual([['h'], ['ask r#1', 'r#1 m2']]);
      expect(failedEngines).toEqual([undefined]);
      expect(gateway.openRequests).toBe(0);
    });

    test('asks for none without a time to wait', async () => {
      planOutcomes = [{ kind: 'ready', endpoint: engine('m1'), inputs: [] }];
      expect(seen(await request('/chat/x', 900))).toEqual(['m1', 'none']);
      expect(hedges).toEqual([]);
    });

    test.each([
      ['that may not be repeated', { resumable: false }],
      ['that may run once', { maxExecutions: 1 }],
    ])('sends a request %s to one engine only', async (_, change) => {
      configureChat(change);
      expect(seen(await request('/chat/x', 900))).toEqual(['m1', 'none']);
      expect(hedges).toEqual([]);
    });

    test('cancels both calls when the caller leaves', async () => {
      reply = () => 'silent';
      const responder = await request('/chat/x', 200);
      responder.disconnect();
      await clock.advance(0);
      expect([...cancelled].sort()).toEqual(['m1', 'm2']);
      expect([calls.length, gateway.openRequests]).toEqual([2, 0]);
      expect(cancelledPlans).toEqual(['r#1']);
    });

    test.each<[string, (responder: FakeResponder) => void]>([
      ['the caller has left', (responder) => responder.disconnect()],
      ['its zone was closed', () => directory.closeZones({ revision: 1, zones: ['b'] })],
    ])('sends nothing there where %s meanwhile', async (_, change) => {
      const second = { ...engine('m2'), availabilityZone: 'b' };
      secondEngine = clock.sleep(150).then(() => second);
      change(await request('/chat/x', 120));
      await clock.advance(500);
      expect(calls.map((call) => call.endpoint.id)).toEqual(['m1']);
    });

    test('tells the planner of an engine that fails meanwhile, and goes on with the other', async () => {
      reply = async ({ endpoint: { id } }) => {
        await clock.sleep(id === 'm2' ? 50 : 300);
        return id === 'm2'
          ? new types.EndpointCallError('reset', true)
          : answerOf(200, `id: 1\ndata: ${id}\n\n`);
      };
      const responder = await request('/chat/x', 200);
      expect(hedges).toEqual(['ask r#1', 'r#1 m1 m2-broken']);
      await clock.advance(200);
      expect(seen(responder)).toEqual(['m1', 'm2', 'whole']);
    });

    test('cancels both calls once the request is quarantined, and blames neither engine', async () => {
      reply = () => 'silent';
      const parts = ['deadly', 'own'].map((id) => ({ id, tokens: 1 }));
      const crash = (id: string): void => {
        const at = clock.monotonic();
        const suspects = [{ request: id, parts: ['part:m/deadly'], placedAt: at - 10 }];
        crashes.recordCrash({ id, endpointId: 'm9', at, suspects });
      };
      crash('c1');
      await clock.advance(1500);
      const prompt = { parts, tokensIn: 2, tokensOut: 1 };
      const responder = await request('/chat/x', 200, { prompt });
      crash('c2');
      await clock.advance(10);
      expect(seen(responder)).toEqual(['m1', 'm2', 'endpoint-failed']);
      expect([...cancelled].sort()).toEqual(['m1', 'm2']);
      expect(hedges.join()).not.toContain('broken');
      expect(failedEngines).toEqual([]);
    });

    test('gives back an engine that is known only after the answer', async () => {
      secondEngine = clock.sleep(200).then(() => engine('m2'));
      reply = async ({ endpoint: { id } }) => {
        await clock.sleep(150);
        return answerOf(200, `id: 1\ndata: ${id}\n\n`);
      };
      expect(seen(await request('/chat/x', 500))).toEqual(['m1', 'whole']);
      expect(hedges).toEqual(['ask r#1', 'r#1 m1']);
    });

    test('leaves the retry budget to retries where it gets no engine', async () => {
      secondEngine = undefined;
      const take = vitest.vi.spyOn(budget, 'take');
      await request('/chat/x', 900);
      expect(hedges).toEqual(['ask r#1']);
      expect(take).not.toHaveBeenCalled();
    });
  });

  test('ignores a configuration that is older than the one in force', () => {
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
    gateway.configure({ version: 1, routes: [], services: new Map(), limits });
    expect(gateway.version).toBe(2);
    expect(gateway.hasRoute('a', '/read/x')).toBe(true);
  });
});
