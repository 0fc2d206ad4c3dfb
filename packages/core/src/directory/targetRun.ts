/** One run of a target, from its start to its end. */
export interface TargetRun {
  targetId: string;
  /** Unix time of the start, in milliseconds; tells restarts under the same id apart. */
  startedAt: number;
}

/** True if both are the same run. */
export function isSameRun(one: TargetRun, other: TargetRun | undefined): boolean {
  return one.targetId === other?.targetId && one.startedAt === other.startedAt;
}
