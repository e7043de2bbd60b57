import type * as services from '../../common/services/Services.js';
import * as requestError from '../../common/RequestError.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as entryTypes from '../Types.js';
import * as poolAdmission from './PoolAdmission.js';

const DEFAULT_WEIGHT = 1;
/** Expected duration of a stage without latency samples, in milliseconds. */
const DEFAULT_EXPECTED_WORK_MS = 50;

/** Admission control for all pools of this entry VM: one PoolAdmission for each pool, created on first use. */
export class Admission implements entryTypes.IAdmission, commonTypes.IDisposable {
  private readonly pools = new Map<string, poolAdmission.PoolAdmission>();

  private weights = new Map<string, number>();

  /** Creates admission without pools; `options` holds the limits that apply to each pool. */
  constructor(
    private readonly options: decisionOptions.ILimitOptions,
    private readonly clock: commonTypes.IClock,
    private readonly metrics: services.IMetricsService,
  ) {}

  /**
   * Applies the workspace shares and pool sizes of a new configuration. A pool that is no longer declared
   * is removed when it has no calls in flight and no queued requests; else a later update removes it.
   */
  updateConfiguration(cfg: configTypes.IConfiguration): void {
    const { workspaces, pools } = cfg.declaration;
    this.weights = new Map(workspaces.map((workspace) => [workspace.name, workspace.share]));
    pools.forEach((pool) => this.pools.get(pool.name)?.resize(pool.endpoints.length));
    const declared = new Set(pools.map((pool) => pool.name));
    this.pools.forEach((pool, name) => {
      if (!declared.has(name) && pool.running === 0 && pool.waiting === 0) {
        pool.dispose();
        this.pools.delete(name);
      }
    });
  }

  /** @inheritdoc */
  async admit(
    pool: configTypes.IPool,
    ctx: entryTypes.IRequestContext,
    work: entryTypes.IStageWork = this.defaultWork(pool, ctx),
  ): Promise<entryTypes.IPermit> {
    try {
      return await this.pool(pool).admit(ctx, work);
    } catch (err) {
      if (err instanceof requestError.RequestError) {
        this.metrics.count('admission_refused', { pool: pool.name, reason: err.code });
      }
      throw err;
    }
  }

  /** Returns the admission of a pool and creates it on first use. */
  pool(pool: configTypes.IPool): poolAdmission.PoolAdmission {
    const known = this.pools.get(pool.name);
    if (known) {
      return known;
    }
    const created = new poolAdmission.PoolAdmission(
      pool.name,
      this.options,
      this.clock,
      (workspace) => this.weights.get(workspace) ?? DEFAULT_WEIGHT,
      pool.endpoints.length,
    );
    this.pools.set(pool.name, created);
    return created;
  }

  /** Returns the admission of a pool by name, or undefined when the pool has not been used yet. */
  findPool(name: string): poolAdmission.PoolAdmission | undefined {
    return this.pools.get(name);
  }

  /** Sets the gauges `pool_running`, `pool_waiting` and `pool_places` of each pool. */
  reportGauges(): void {
    this.pools.forEach((pool, name) => {
      this.metrics.gauge('pool_running', pool.running, { pool: name });
      this.metrics.gauge('pool_waiting', pool.waiting, { pool: name });
      this.metrics.gauge('pool_places', pool.slots, { pool: name });
    });
  }

  /** Names of the pools that have an admission. */
  poolNames(): readonly string[] {
    return [...this.pools.keys()];
  }

  /** @inheritdoc */
  dispose(): void {
    this.pools.forEach((pool) => pool.dispose());
    this.pools.clear();
  }

  private defaultWork(
    pool: configTypes.IPool,
    ctx: entryTypes.IRequestContext,
  ): entryTypes.IStageWork {
    return { key: pool.name, expected: DEFAULT_EXPECTED_WORK_MS, latestStart: ctx.deadline };
  }
}
