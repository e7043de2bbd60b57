import type * as commonTypes from '../../common/Types.js';
import * as settings from '../StandinSettings.js';
import type * as types from '../Types.js';
import * as work from './Work.js';

interface IShown {
  readonly generation: number;
  readonly vms: readonly types.IListedVm[];
}

/** The platform's list of live and leaving VMs, shown with a lag. */
export class PlatformHandler implements types.IHandler, commonTypes.IDisposable {
  private readonly timers = new Set<commonTypes.IDisposable>();

  private shown: IShown = { generation: 0, vms: [] };

  private latest: IShown = this.shown;

  /** Lists the VMs that `read` finds, and those of the settings. */
  constructor(
    private readonly ctx: types.IStandinContext,
    private readonly read: () => readonly types.IListedVm[],
    private fixed: readonly types.IListedVm[],
  ) {}

  /** @inheritdoc */
  isWork(): boolean {
    return false;
  }

  /** @inheritdoc */
  handle(call: types.ICall): Promise<types.IReply> {
    if (call.path !== '/v1/vms') {
      return Promise.resolve({ status: 404, json: { error: 'no such path' } });
    }
    if (call.method === 'PUT') {
      this.replace(call);
    }
    this.refresh();
    return Promise.resolve({ status: 200, json: this.shown });
  }

  /** Notices changes; each is shown `listLagMs` after it was noticed. */
  refresh(): void {
    const vms = [...this.read(), ...this.fixed];
    if (JSON.stringify(vms) === JSON.stringify(this.latest.vms)) {
      return;
    }
    const next: IShown = { generation: this.latest.generation + 1, vms };
    this.latest = next;
    if (this.ctx.faults.listLagMs === 0 || next.generation === 1) {
      this.shown = next;
      return;
    }
    const timer = this.ctx.clock.setTimer(this.ctx.faults.listLagMs, () => {
      this.timers.delete(timer);
      this.shown = next;
    });
    this.timers.add(timer);
  }

  /** @inheritdoc */
  dispose(): void {
    this.timers.forEach((timer) => timer.dispose());
    this.timers.clear();
  }

  private replace(call: types.ICall): void {
    const parsed = settings.vmsSchema.safeParse(work.parseBody(call));
    if (!parsed.success) {
      throw new work.BadCallError(parsed.error.issues.map((issue) => issue.message).join('; '));
    }
    this.fixed = parsed.data.vms;
  }
}
