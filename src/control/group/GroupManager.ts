import * as grpc from '@grpc/grpc-js';
import type * as commonTypes from '../../common/Types.js';
import * as peerClients from '../../common/wire/PeerClients.js';
import type * as commonServices from '../../common/services/Services.js';
import * as knownLeader from '../KnownLeader.js';
import type * as controlTypes from '../Types.js';

/** Request of a control VM to become a member of the control group. */
interface IJoinRequest {
  readonly id: string;
  /** `ip:port` where it listens for its peers. */
  readonly address: string;
  /** Random number of its data folder. */
  readonly incarnation: string;
  /** True when its data folder holds neither log entries nor members. */
  readonly blank: boolean;
}

/** Response to a join request. */
interface IJoinAnswer {
  /**
   * `member`: this incarnation is already a voter. `working`: the leader is changing the membership; ask again.
   * `not-leader`: retry at `leader`. `foreign`: the data folder is not empty and its incarnation is not a
   * current member, for example because the member was removed while its VM was offline or because the folder
   * comes from another group. The folder must be emptied before the VM can join.
   */
  readonly outcome: 'member' | 'working' | 'not-leader' | 'foreign';
  /** `ip:port` of the leader, when `not-leader` and the leader is known. */
  readonly leader?: string;
}

const JOIN_PATH = '/anvildeck.control.Group/Join';
/** Interval between the join requests of a control VM that is not a voter yet. */
const JOIN_INTERVAL_MS = 400;
const JOIN_TIMEOUT_MS = 1000;
/** A voter that has heard from no leader for this long sends join requests too; several elections fit in it. */
const JOIN_AFTER_SILENCE_MS = 3000;
/** A member that has been silent for this long may be replaced by a control VM that joins under a new id. */
const REPLACE_AFTER_SILENCE_MS = 2000;
/** A member that has been silent for this long is removed, provided more than MIN_VOTERS voters exist. */
const REMOVE_AFTER_SILENCE_MS = 12_000;
/** Interval at which the leader checks its members for silence. */
const SILENCE_CHECK_INTERVAL_MS = 500;
/**
 * After a join under a new id that replaced no member, silent members are removed after REPLACE_AFTER_SILENCE_MS for
 * this long: the new member replaces the silent one.
 */
const REPLACEMENT_WINDOW_MS = 10_000;
/**
 * The periodic check removes a silent member only while there are more voters than this. Admission of a new VM
 * replaces a silent member without this check.
 */
const MIN_VOTERS = 3;

const encode = (value: IJoinRequest | IJoinAnswer): Buffer => Buffer.from(JSON.stringify(value));

const JOIN_CLIENT_OPTIONS: grpc.ClientOptions = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_retries': 0,
};
const JOIN: peerClients.IUnaryMethod<IJoinRequest, IJoinAnswer> = {
  path: JOIN_PATH,
  serialize: encode,
  deserialize: (bytes) => JSON.parse(bytes.toString()) as IJoinAnswer,
};

/** Services and settings of a group manager. */
export interface IGroupManagerServices {
  /** Its ids are the `ip:port` where the members listen for their peers. */
  readonly log: controlTypes.IReplicatedLog;
  readonly clock: commonTypes.IClock;
  readonly logService: commonServices.ILogService;
  /** `ip:port` where this VM listens for its peers. */
  readonly address: string;
  /** `ip:port` of the control VMs named in the settings. */
  readonly seeds: () => readonly string[];
}

/**
 * Repairs the control group without an operator. A control VM that is not a voter, or that has not heard from a leader
 * for a while, sends join requests. The leader admits the VM if its data folder is empty or its incarnation is already
 * a member: it adds the VM as a learner and promotes it, replacing its earlier incarnation or a silent member.
 */
export class GroupManager implements commonTypes.IDisposable {
  private readonly stop = new AbortController();

  private readonly clients: peerClients.PeerClients;

  private isAdmitting = false;

  /** Monotonic time until which the group counts as having one voter more than before the last join. */
  private extraVoterUntil: commonTypes.Millis = 0;

  /**
   * Registers the join method at `server` and runs until disposed; `onRemoved` is called when the data folder
   * must be emptied.
   */
  constructor(
    server: grpc.Server,
    private readonly services: IGroupManagerServices,
    private readonly onRemoved: () => void,
  ) {
    const credentials = grpc.credentials.createInsecure();
    this.clients = new peerClients.PeerClients(credentials, JOIN_CLIENT_OPTIONS, services.clock);
    server.addService(
      {
        join: {
          path: JOIN_PATH,
          requestStream: false,
          responseStream: false,
          requestSerialize: encode,
          requestDeserialize: (bytes: Buffer) => JSON.parse(bytes.toString()) as IJoinRequest,
          responseSerialize: encode,
          responseDeserialize: (bytes: Buffer) => JSON.parse(bytes.toString()) as IJoinAnswer,
        },
      },
      {
        join: (
          call: grpc.ServerUnaryCall<IJoinRequest, IJoinAnswer>,
          callback: grpc.sendUnaryData<IJoinAnswer>,
        ) => {
          this.handleJoinRequest(call.request).then(
            (answer) => callback(null, answer),
            (err: Error) => callback({ code: grpc.status.UNAVAILABLE, details: err.message }),
          );
        },
      },
    );
    void this.joinGroup();
    void this.removeSilentMembers();
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort(new Error('group manager disposed'));
    this.clients.dispose();
  }

  /**
   * Sends join requests while this incarnation is not a voter, or has no leader: the group may have gone on without an
   * entry that only this replica holds, and may list it under no incarnation or an earlier one.
   */
  private async joinGroup(): Promise<void> {
    const { clock, log, logService, address } = this.services;
    const { signal } = this.stop;
    let attempt = 0;
    let leaderAddress: string | undefined;
    let leaderSeenAt = clock.monotonic();
    while (!signal.aborted) {
      const { id, incarnation, members, appliedIndex, hasLeader, isVoter } = log.status();
      if (hasLeader) {
        leaderSeenAt = clock.monotonic();
      }
      if (!isVoter || clock.monotonic() - leaderSeenAt > JOIN_AFTER_SILENCE_MS) {
        const peerAddresses = this.peerAddresses();
        const target = leaderAddress ?? peerAddresses[attempt % Math.max(1, peerAddresses.length)];
        attempt += 1;
        leaderAddress = undefined;
        if (target !== undefined) {
          const blank = appliedIndex === 0 && members.length === 0;
          const answer = await this.sendJoinRequest(target, { id, address, incarnation, blank });
          leaderAddress = answer?.outcome === 'not-leader' ? answer.leader : undefined;
          if (answer?.outcome === 'foreign') {
            logService.warn('group-left', {
              reason: 'data folder is not empty and its incarnation is not a current member',
            });
            this.onRemoved();
            return;
          }
        }
      }
      await clock.sleep(JOIN_INTERVAL_MS, signal).catch(() => {});
    }
  }

  /**
   * Returns where to ask for admission. The settings may name only control VMs that are gone for good, and a data folder
   * that was lost names no members: a member that calls its earlier incarnation is then the only one that is known.
   */
  private peerAddresses(): readonly string[] {
    const { log, address, seeds } = this.services;
    const { members, earlierIncarnationCaller: caller } = log.status();
    const callers = caller === undefined ? [] : [caller];
    const known = [...callers, ...members.map((member) => member.address), ...seeds()];
    return [...new Set(known)].filter((other) => other !== address);
  }

  private async sendJoinRequest(
    address: string,
    req: IJoinRequest,
  ): Promise<IJoinAnswer | undefined> {
    try {
      return await this.clients.call(JOIN, address, req, JOIN_TIMEOUT_MS);
    } catch (err) {
      const reason = (err as grpc.ServiceError).details ?? (err as Error).message;
      this.services.logService.info('join-request-failed', { address, reason });
      return undefined;
    }
  }

  private async handleJoinRequest(req: IJoinRequest): Promise<IJoinAnswer> {
    const { log, logService } = this.services;
    if (!req.blank && log.status().role === 'leader') {
      // A leader that a partition has deposed may know of fewer members, and its answer could empty a member's folder.
      await log.readBarrier();
    }
    const status = log.status();
    const { role, members } = status;
    if (role !== 'leader') {
      const leaderId = knownLeader.otherLeaderId(status);
      const leader = members.find((member) => member.id === leaderId)?.address;
      return { outcome: 'not-leader', ...(leader === undefined ? {} : { leader }) };
    }
    const existing = members.find((member) => member.id === req.id);
    const isSameIncarnation = existing?.incarnation === req.incarnation;
    if (isSameIncarnation && existing.voter) {
      return { outcome: 'member' };
    }
    if (!isSameIncarnation && !req.blank) {
      return { outcome: 'foreign' };
    }
    if (!this.isAdmitting) {
      this.isAdmitting = true;
      logService.info('join-requested', { id: req.id, incarnation: req.incarnation });
      void this.admit(req)
        .catch((err: Error) => logService.warn('join-failed', { id: req.id, reason: err.message }))
        .finally(() => {
          this.isAdmitting = false;
        });
    }
    return { outcome: 'working' };
  }

  /**
   * Adds a control VM as a learner and promotes it. Removes its earlier incarnation first, if it had one. For an id
   * that is not a member yet, also removes a member that has been silent for more than REPLACE_AFTER_SILENCE_MS, if
   * any, before the promotion.
   */
  private async admit(req: IJoinRequest): Promise<void> {
    const { log } = this.services;
    const { id, address } = req;
    const existing = log.status().members.find((member) => member.id === id);
    const isNew = existing === undefined;
    if (existing !== undefined && existing.incarnation !== req.incarnation) {
      await log.changeMembership({ action: 'remove', id });
    }
    await log.changeMembership({ action: 'add-learner', id, address });
    const silentId = isNew ? this.findSilentMember(REPLACE_AFTER_SILENCE_MS) : undefined;
    if (silentId !== undefined) {
      await log.changeMembership({ action: 'remove', id: silentId });
    }
    await log.changeMembership({ action: 'promote', id });
    if (isNew && silentId === undefined) {
      this.extraVoterUntil = this.services.clock.monotonic() + REPLACEMENT_WINDOW_MS;
    }
    this.services.logService.info('member-joined', { id, replaced: silentId });
  }

  /**
   * Returns the other member that has been silent the longest, if for more than `minSilence`. Infinity means that this
   * leader has no replicator for the member, so that its silence is not measured; such a member is skipped.
   */
  private findSilentMember(minSilence: commonTypes.Millis): string | undefined {
    const { log } = this.services;
    const { id: ownId, members } = log.status();
    const silent = members
      .filter((member) => member.id !== ownId)
      .map((member) => ({ id: member.id, silence: log.timeSinceAnswer(member.id) ?? 0 }))
      .filter(({ silence }) => silence > minSilence && Number.isFinite(silence))
      .sort((a, b) => b.silence - a.silence);
    return silent[0]?.id;
  }

  /** While this replica leads, periodically removes members that have been silent too long. */
  private async removeSilentMembers(): Promise<void> {
    const { clock, log, logService } = this.services;
    const { signal } = this.stop;
    while (!signal.aborted) {
      await clock.sleep(SILENCE_CHECK_INTERVAL_MS, signal).catch(() => {});
      const hasExtraVoter = clock.monotonic() < this.extraVoterUntil;
      const minSilence = hasExtraVoter ? REPLACE_AFTER_SILENCE_MS : REMOVE_AFTER_SILENCE_MS;
      const silentId =
        log.status().role === 'leader' ? this.findSilentMember(minSilence) : undefined;
      const voters = log.status().members.filter((member) => member.voter);
      if (silentId !== undefined && voters.length > MIN_VOTERS && !this.isAdmitting) {
        this.extraVoterUntil = 0;
        // Logged before the change; `member-remove-failed` follows if the change fails.
        logService.warn('member-removed', { id: silentId, silence: log.timeSinceAnswer(silentId) });
        await log
          .changeMembership({ action: 'remove', id: silentId })
          .catch((err: Error) => logService.warn('member-remove-failed', { reason: err.message }));
      }
    }
  }
}
