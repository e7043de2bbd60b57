import * as emitter from '../../common/Emitter.js';
import type * as loggers from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import * as zoneTypes from '../../zones/Types.js';
import type * as controlFeed from './ControlFeed.js';

/** The availability zones out of service, as the control group told them last; an older set never replaces a newer one. */
export class ZoneService implements commonTypes.IDisposable {
  private closed = zoneTypes.NO_CLOSED_ZONES;

  private readonly changeEmitter = new emitter.Emitter<zoneTypes.IClosedZones>();

  private readonly subscription: commonTypes.IDisposable;

  /** Fires with each newer set. */
  readonly onChange = this.changeEmitter.event;

  /** Takes the sets from `feed`. */
  constructor(
    feed: Pick<controlFeed.ControlFeed, 'onUpdate'>,
    private readonly logService: loggers.ILogService,
  ) {
    this.subscription = feed.onUpdate(({ zones }) => {
      if (zones !== null) {
        this.update({ revision: zones.revision, zones: zones.zones });
      }
    });
  }

  /** The newest set that is known here. */
  get current(): zoneTypes.IClosedZones {
    return this.closed;
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscription.dispose();
    this.changeEmitter.dispose();
  }

  private update(closed: zoneTypes.IClosedZones): void {
    if (closed.revision > this.closed.revision) {
      this.closed = closed;
      const { revision, zones } = closed;
      this.logService.info('zones-out-of-service', { revision, zones: zones.join(',') });
      this.changeEmitter.fire(closed);
    }
  }
}
