import type * as batching from '../../src/batching/Types.js';
import type * as coordination from '../../src/coordination/Types.js';
import type * as endpointDirectory from '../../src/routing/EndpointDirectory.js';
import type * as routing from '../../src/routing/Types.js';
import type * as virtualClock from '../../src/common/testing/VirtualClock.js';

const RETRY_MS = 100;
const REFUSED: coordination.PlanOutcome = { kind: 'refused', reason: 'too-late', retryAfter: 0 };

/**
 * What is played against: each item is a call of its own to the next endpoint in turn, first come first
 * served, tried again every 100 ms until the request's deadline.
 */
export class NaivePlanner implements coordination.IPlanner {
  private turn = 0;

  private readonly held = new Map<string, { endpoint: routing.IEndpoint; handle: string }[]>();

  /** Calls the endpoints of `directory`. */
  constructor(
    private readonly caller: batching.IStageCaller,
    private readonly directory: endpointDirectory.EndpointDirectory,
    private readonly clock: virtualClock.VirtualClock,
  ) {}

  /** @inheritdoc */
  async plan(req: coordination.IPlanRequest): Promise<coordination.PlanOutcome> {
    const deadline = this.clock.monotonic() + req.deadlineLeft;
    const made: string[][] = [];
    for (const [at, stage] of req.stages.entries()) {
      const inputs = stage.after.flatMap((before) => made[before] ?? []);
      const wanted = Array.from({ length: req.pieces[at] ?? 0 }, (_, segment) => segment);
      const results = await Promise.all(
        wanted.map((segment) => this.make(req, at, segment, inputs, deadline)),
      );
      if (results.some((handle) => handle === undefined)) {
        this.markEnded(req.planId);
        return REFUSED;
      }
      made.push(results as string[]);
    }
    const followed = new Set(req.stages.flatMap((stage) => stage.after));
    const inputs = made.filter((_, at) => !followed.has(at)).flat();
    const endpoint = this.next(req.service);
    return endpoint === undefined ? REFUSED : { kind: 'ready', endpoint, inputs };
  }

  /** @inheritdoc */
  async reassign(): Promise<coordination.PlanOutcome> {
    return REFUSED;
  }

  /** @inheritdoc */
  hedge(): Promise<undefined> {
    return Promise.resolve(undefined);
  }

  /** @inheritdoc */
  settleHedge(): void {}

  /** @inheritdoc */
  cancel(planId: string): void {
    this.markEnded(planId);
  }

  /** @inheritdoc */
  markStarted(planId: string): void {
    this.markEnded(planId);
  }

  /** @inheritdoc */
  markEnded(planId: string): void {
    const held = this.held.get(planId) ?? [];
    this.held.delete(planId);
    held.forEach(({ endpoint, handle }) => {
      void this.caller.free(endpoint, [handle]);
    });
  }

  private next(service: string): routing.IEndpoint | undefined {
    const endpoints = this.directory.ready(service);
    this.turn += 1;
    return endpoints[this.turn % endpoints.length];
  }

  private async make(
    req: coordination.IPlanRequest,
    stage: number,
    segment: number,
    inputs: readonly string[],
    deadline: number,
  ): Promise<string | undefined> {
    const { service } = req.stages[stage] as routing.IStage;
    const source = inputs.length === 0 ? { key: req.pieceKey } : { inputs };
    while (this.clock.monotonic() < deadline) {
      const endpoint = this.next(service) as routing.IEndpoint;
      const timeLeft = deadline - this.clock.monotonic();
      const item = { requestId: req.requestId, stage, segment, timeLeft, ...source };
      const [result] = await this.caller.run(endpoint, [item], timeLeft).catch(() => []);
      if (result !== undefined && 'handle' in result) {
        const held = this.held.get(req.planId) ?? [];
        held.push({ endpoint, handle: result.handle });
        this.held.set(req.planId, held);
        return result.handle;
      }
      await this.clock.sleep(RETRY_MS);
    }
    return undefined;
  }
}

/** The policy above as a planner of a play. */
export function makeNaive(
  caller: batching.IStageCaller,
  directory: endpointDirectory.EndpointDirectory,
  clock: virtualClock.VirtualClock,
): coordination.IPlanner {
  return new NaivePlanner(caller, directory, clock);
}
