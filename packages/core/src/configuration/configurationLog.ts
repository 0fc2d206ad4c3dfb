import type { Configuration } from './configuration.js';
import {
  applyConfigurationDelta,
  configurationVersionOf,
  createConfigurationDelta,
} from './configurationDelta.js';
import type { ConfigurationDelta, ConfigurationVersion } from './configurationDelta.js';

/** Differences that are kept for daemons that lag. */
const DELTAS_KEPT = 32;

/** The configuration in force at one daemon and the last steps that led to it. */
export class ConfigurationLog {
  private configuration: Configuration | undefined;

  private deltas: ConfigurationDelta[] = [];

  /** The configuration in force. */
  get current(): Configuration | undefined {
    return this.configuration;
  }

  /** Revision in force; 0 when there is none. */
  get revision(): number {
    return this.configuration?.revision ?? 0;
  }

  /** The last step that was taken. */
  get lastDelta(): ConfigurationDelta | undefined {
    return this.deltas.at(-1);
  }

  /** Moves to a whole configuration if it is newer; true when it was. */
  moveTo(next: Configuration): boolean {
    if (!Number.isSafeInteger(next.revision) || next.revision <= this.revision) return false;
    if (this.configuration) this.keep(createConfigurationDelta(this.configuration, next));
    this.configuration = next;
    return true;
  }

  /** Takes a step if it starts at the revision in force and leads to a newer one. */
  take(delta: ConfigurationDelta): boolean {
    if (!this.configuration || delta.to.revision <= this.revision) return false;
    const next = applyConfigurationDelta(this.configuration, delta);
    if (!next) return false;
    this.keep(delta);
    this.configuration = next;
    return true;
  }

  /** Steps from `version` to the revision in force; undefined when they are not kept. */
  stepsFrom({ revision, changeId }: ConfigurationVersion): ConfigurationDelta[] | undefined {
    const start = this.deltas.findIndex(
      ({ from }) => from.revision === revision && from.changeId === changeId,
    );
    return start < 0 ? undefined : this.deltas.slice(start);
  }

  /** Number and change id in force. */
  version(): ConfigurationVersion {
    if (!this.configuration) return { revision: 0, changeId: '' };
    return configurationVersionOf(this.configuration);
  }

  private keep(delta: ConfigurationDelta): void {
    this.deltas.push(delta);
    if (this.deltas.length > DELTAS_KEPT) this.deltas.shift();
  }
}
