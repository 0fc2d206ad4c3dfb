import type { Configuration } from './configuration.js';
import {
  applyConfigurationDelta,
  configurationVersionOf,
  createConfigurationDelta,
} from './configurationDelta.js';
import type { ConfigurationDelta, ConfigurationVersion } from './configurationDelta.js';

/** Deltas kept for daemons that are behind. */
const MAX_DELTAS = 32;

/** The configuration in force at one daemon and the last deltas that led to it. */
export class ConfigurationLog {
  private configuration: Configuration | undefined;

  private deltas: ConfigurationDelta[] = [];

  /** The configuration in force. */
  get current(): Configuration | undefined {
    return this.configuration;
  }

  /** Revision in force; 0 if there is none. */
  get revision(): number {
    return this.configuration?.revision ?? 0;
  }

  /** The delta that was applied last. */
  get lastDelta(): ConfigurationDelta | undefined {
    return this.deltas.at(-1);
  }

  /** Replaces the configuration with a newer one; returns false if it is not newer. */
  replaceIfNewer(next: Configuration): boolean {
    if (!Number.isSafeInteger(next.revision) || next.revision <= this.revision) return false;
    if (this.configuration) this.appendDelta(createConfigurationDelta(this.configuration, next));
    this.configuration = next;
    return true;
  }

  /** Applies a delta if it leads from the revision in force to a newer one; false otherwise. */
  applyDelta(delta: ConfigurationDelta): boolean {
    if (!this.configuration || delta.to.revision <= this.revision) return false;
    const next = applyConfigurationDelta(this.configuration, delta);
    if (!next) return false;
    this.appendDelta(delta);
    this.configuration = next;
    return true;
  }

  /** Deltas from a version to the one in force; undefined if they are no longer kept. */
  deltasFrom({ revision, changeId }: ConfigurationVersion): ConfigurationDelta[] | undefined {
    const start = this.deltas.findIndex(
      ({ from }) => from.revision === revision && from.changeId === changeId,
    );
    return start < 0 ? undefined : this.deltas.slice(start);
  }

  /** Version in force. */
  version(): ConfigurationVersion {
    if (!this.configuration) return { revision: 0, changeId: '' };
    return configurationVersionOf(this.configuration);
  }

  private appendDelta(delta: ConfigurationDelta): void {
    this.deltas.push(delta);
    if (this.deltas.length > MAX_DELTAS) this.deltas.shift();
  }
}
