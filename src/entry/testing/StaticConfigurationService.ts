import * as emitter from '../../common/Emitter.js';
import type * as configTypes from '../../config/Types.js';
import type * as services from '../services/Services.js';

/** Configuration service for tests whose configuration changes only through `set`. */
export class StaticConfigurationService implements services.IConfigurationService {
  private readonly changes = new emitter.Emitter<configTypes.IConfiguration>();

  /** @inheritdoc */
  readonly onChange = this.changes.event;

  /** @inheritdoc */
  ready = true;

  /** @inheritdoc */
  isCurrent = true;

  /** `current` is the initial configuration. */
  constructor(public current: configTypes.IConfiguration | undefined) {}

  /** Puts a configuration in force and notifies the listeners. */
  set(next: configTypes.IConfiguration): void {
    this.current = next;
    this.changes.fire(next);
  }

  /** @inheritdoc */
  dispose(): void {
    this.changes.dispose();
  }
}
