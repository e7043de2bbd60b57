import * as grpc from '@grpc/grpc-js';
import type * as commonTypes from '../../common/Types.js';
import type * as commonServices from '../../common/services/Services.js';
import type * as controlTypes from '../Types.js';

/** A control VM that wants to be a member. */
interface IJoinRequest {
  readonly id: string;
  /** `ip:port` where it listens for its peers. */
  readonly address: string;
  readonly incarnation: string;
  /** True when its data folder holds nothing. */
  readonly blank: boolean;
}

/** Whether the request was taken, and who leads. */
interface IJoinAnswer {
  /** `foreign`: the data folder is of a member that was removed, and must be emptied. */
  readonly outcome: 'member' | 'working' | 'not-leader' | 'foreign';
  readonly leader?: string;
}

const JOIN_PATH = '/anvildeck.control.Group/Join';
/** Between two requests of a control VM that is no member yet. */
const JOIN_INTERVAL_MS = 400;
const JOIN_TIMEOUT_MS = 1000;
/** A voter that was silent for this long may be replaced by a control VM at a new address. */
const REPLACE_AFTER_MS = 2000;
/** A voter that was silent for this long is removed, as long as enough others answer. */
const REMOVE_AFTER_MS = 12_000;
/** Between two looks of the leader at its voters. */
const REVIEW_INTERVAL_MS = 500;
/** A control VM that joins at a new address replaces a voter that falls silent within this time. */
const SURPLUS_MS = 10_000;
/** No voter is removed for its silence when fewer than this would be left. */
const LEAST_VOTERS = 3;

const encode = (value: IJoinRequest | IJoinAnswer): Buffer => Buffer.from(JSON.stringify(value));

/** What a keeper works with. */
export interface IGroupKeeperNeeds {
  readonly log: controlTypes.IReplicatedLog;
  readonly clock: commonTypes.IClock;
  readonly logService: commonServices.ILogService;
  /** `ip:port` where this VM listens for its peers. */
  readonly address: string;
  /** Control VMs that the settings name. */
  readonly seeds: () => readonly string[];
  /** Whether this VM founds the group with the seeds instead of joining. */
  readonly founds: boolean;
}

/**
 * Keeps the group whole without a person: a control VM with an empty folder asks to join, the leader adds
 * it as a learner and promotes it, in place of its own earlier incarnation or of a voter that is gone.
 */
export class GroupKeeper implements commonTypes.IDisposable {
  private readonly stop = new AbortController();

  private working = false;

  /** Until then the group has a member more than before a join. */
  private surplusUntil: commonTypes.Millis = 0;

  /** Registers at `server` and runs until disposed; `onForeign` is called when the folder must be emptied. */
  constructor(
    server: grpc.Server,
    private readonly needs: IGroupKeeperNeeds,
    private readonly onForeign: () => void,
  ) {
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
        ) => callback(null, this.take(call.request)),
      },
    );
    void this.join();
    void this.review();
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort(new Error('group keeper closed'));
  }

  /** Asks to join until this incarnation votes. */
  private async join(): Promise<void> {
    const { clock, log, logService, address, founds } = this.needs;
    const { signal } = this.stop;
    let position = 0;
    let hint: string | undefined;
    while (!signal.aborted) {
      const { id, incarnation, members, appliedIndex } = log.status();
      const self = members.find((member) => member.id === id);
      const isVoter = self?.voter === true && self.incarnation === incarnation;
      if (!isVoter && !(founds && members.length === 0)) {
        const known = [
          ...new Set([...members.map((member) => member.address), ...this.needs.seeds()]),
        ];
        const others = known.filter((other) => other !== address);
        const target = hint ?? others[position % Math.max(1, others.length)];
        position += 1;
        hint = undefined;
        if (target !== undefined) {
          const blank = appliedIndex === 0 && members.length === 0;
          const answer = await this.ask(target, { id, address, incarnation, blank });
          hint = answer?.outcome === 'not-leader' ? answer.leader : undefined;
          if (answer?.outcome === 'foreign') {
            logService.warn('group-left', { reason: 'removed while away' });
            this.onForeign();
            return;
          }
        }
      }
      await clock.sleep(JOIN_INTERVAL_MS, signal).catch(() => {});
    }
  }

  private ask(address: string, req: IJoinRequest): Promise<IJoinAnswer | undefined> {
    const client = new grpc.Client(address, grpc.credentials.createInsecure());
    const deadline = this.needs.clock.now() + JOIN_TIMEOUT_MS;
    return new Promise((resolve) => {
      client.makeUnaryRequest(
        JOIN_PATH,
        encode,
        (bytes: Buffer) => JSON.parse(bytes.toString()) as IJoinAnswer,
        req,
        { deadline },
        (err, res) => {
          client.close();
          if (err !== null) {
            this.needs.logService.info('join-unanswered', { address, reason: err.details });
          }
          resolve(res);
        },
      );
    });
  }

  private take(req: IJoinRequest): IJoinAnswer {
    const { log, logService } = this.needs;
    const { role, leaderId, members } = log.status();
    if (role !== 'leader') {
      const leader = members.find((member) => member.id === leaderId)?.address;
      return { outcome: 'not-leader', ...(leader === undefined ? {} : { leader }) };
    }
    const present = members.find((member) => member.id === req.id);
    const same = present?.incarnation === req.incarnation;
    if (same && present.voter) {
      return { outcome: 'member' };
    }
    if (!same && !req.blank) {
      return { outcome: 'foreign' };
    }
    if (!this.working) {
      this.working = true;
      logService.info('join-requested', { id: req.id, incarnation: req.incarnation });
      void this.admit(req)
        .catch((err: Error) => logService.warn('join-failed', { id: req.id, reason: err.message }))
        .finally(() => {
          this.working = false;
        });
    }
    return { outcome: 'working' };
  }

  /** Adds a control VM as a learner and promotes it; its own earlier incarnation goes first. */
  private async admit(req: IJoinRequest): Promise<void> {
    const { log } = this.needs;
    const { id, address } = req;
    const present = log.status().members.find((member) => member.id === id);
    const isNew = present === undefined;
    if (present !== undefined && present.incarnation !== req.incarnation) {
      await log.changeMembership({ action: 'remove', id });
    }
    await log.changeMembership({ action: 'add-learner', id, address });
    const lost = isNew ? this.findLost(REPLACE_AFTER_MS) : undefined;
    if (lost !== undefined) {
      await log.changeMembership({ action: 'remove', id: lost });
    }
    await log.changeMembership({ action: 'promote', id });
    if (isNew && lost === undefined) {
      this.surplusUntil = this.needs.clock.monotonic() + SURPLUS_MS;
    }
    this.needs.logService.info('member-joined', { id, replaced: lost });
  }

  /** The voter that was silent for longest, at least for `silence`. */
  private findLost(silence: commonTypes.Millis): string | undefined {
    const { log } = this.needs;
    const { id: self, members } = log.status();
    const silent = members
      .filter((member) => member.id !== self)
      .map((member) => ({ id: member.id, since: log.timeSinceAnswer(member.id) ?? 0 }))
      .filter(({ since }) => since > silence && Number.isFinite(since))
      .sort((a, b) => b.since - a.since);
    return silent[0]?.id;
  }

  /** As leader, removes members that are gone for long. */
  private async review(): Promise<void> {
    const { clock, log, logService } = this.needs;
    const { signal } = this.stop;
    while (!signal.aborted) {
      await clock.sleep(REVIEW_INTERVAL_MS, signal).catch(() => {});
      const isSurplus = clock.monotonic() < this.surplusUntil;
      const silence = isSurplus ? REPLACE_AFTER_MS : REMOVE_AFTER_MS;
      const lost = log.status().role === 'leader' ? this.findLost(silence) : undefined;
      const voters = log.status().members.filter((member) => member.voter);
      if (lost !== undefined && voters.length > LEAST_VOTERS && !this.working) {
        this.surplusUntil = 0;
        logService.warn('member-removed', { id: lost, silence: log.timeSinceAnswer(lost) });
        await log
          .changeMembership({ action: 'remove', id: lost })
          .catch((err: Error) => logService.warn('remove-failed', { reason: err.message }));
      }
    }
  }
}
