/** Thrown by a replica that is not the leader; nothing was appended to the log. */
export class NotLeaderError extends Error {
  /** Carries the id and the address (`ip:port`) of the leader; undefined where unknown. */
  constructor(
    readonly leaderId: string | undefined,
    readonly leaderAddress: string | undefined = undefined,
  ) {
    super(leaderId === undefined ? 'no leader is known' : `replica ${leaderId} is the leader`);
    this.name = 'NotLeaderError';
  }
}
