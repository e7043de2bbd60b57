import * as crypto from 'node:crypto';
import type * as control from '#wire/control.js';
import * as emitter from '../../common/Emitter.js';
import * as messages from '../../common/wire/Messages.js';
import * as limits from './Limits.js';
import type * as types from './Types.js';

const { LIMITS } = limits;

type Apply = messages.Message<control.wire.ApplyConfiguration.$Properties>;

interface ISubmission {
  readonly textHash: string;
  readonly result: types.ApplyResult;
}

/** Versions of the declaration. Each accepted submission creates the next version, and none is withdrawn. */
export class ConfigurationState {
  private versions: types.Configuration[] = [];

  private readonly submissions = new Map<string, ISubmission>();

  private readonly changeEmitter = new emitter.Emitter<types.Configuration>();

  /** Fires with each new version. */
  readonly onChange = this.changeEmitter.event;

  /** The version in force; undefined before the first version. */
  get current(): types.Configuration | undefined {
    return this.versions.at(-1);
  }

  /** Number of the newest version; 0 before the first. */
  get version(): number {
    return this.current?.version ?? 0;
  }

  /** A version of the history; undefined when it is not there. The text is empty when it is no longer kept. */
  get(version: number): types.Configuration | undefined {
    return this.versions.find((item) => item.version === version);
  }

  /** Up to `limit` versions, newest first. */
  history(limit: number): readonly types.Configuration[] {
    return this.versions.slice(-limit).reverse();
  }

  /**
   * Accepts a text that is based on the version in force. A resent submission gets the same result; the same id
   * with another text gets `submission-reused`.
   */
  apply(req: Apply, operator: string, time: number): types.ApplyResult | 'submission-reused' {
    const textHash = crypto.createHash('sha256').update(req.text).digest('hex');
    const known = this.submissions.get(req.submissionId);
    if (known !== undefined) {
      return known.textHash === textHash ? known.result : 'submission-reused';
    }
    const accepted = req.baseVersion === this.version;
    if (accepted) {
      this.append(req, operator, time);
    }
    const winner = accepted ? this.current : this.winnerForBase(req.baseVersion);
    const result = {
      accepted,
      version: this.version,
      winner: winner?.operator ?? '',
      winnerTime: winner?.time ?? 0,
      winnerSubmission: winner?.submissionId ?? '',
    };
    this.storeResult(req.submissionId, { textHash, result });
    return result;
  }

  /** The history and the stored results as a message. */
  snapshot(): control.wire.ConfigurationState.$Properties {
    return {
      versions: this.versions.map(messages.asProperties),
      submissions: [...this.submissions].map(([submissionId, { textHash, result }]) => ({
        submissionId,
        textHash,
        result,
      })),
    };
  }

  /** Replaces the history and the stored results; fires `onChange` when the version rises. */
  restore(state: messages.Message<control.wire.ConfigurationState.$Properties> | null): void {
    const before = this.version;
    this.versions = [...(state?.versions ?? [])];
    this.submissions.clear();
    state?.submissions.forEach(({ submissionId, textHash, result }) => {
      if (result !== null) {
        this.submissions.set(submissionId, { textHash, result });
      }
    });
    if (this.current !== undefined && this.version > before) {
      this.changeEmitter.fire(this.current);
    }
  }

  /** The version that was accepted instead of a rejected submission with this base, or the newest one. */
  private winnerForBase(base: number): types.Configuration | undefined {
    return this.get(base + 1) ?? this.current;
  }

  private append(req: Apply, operator: string, time: number): void {
    const { text, submissionId, baseVersion } = req;
    const next = { version: this.version + 1, text, operator, time, submissionId, baseVersion };
    this.versions.push(next);
    this.versions = this.versions.slice(-LIMITS.configurationVersions);
    this.dropOldTexts();
    this.changeEmitter.fire(next);
  }

  private dropOldTexts(): void {
    let chars = 0;
    this.versions = this.versions
      .toReversed()
      .map((item, age) => {
        chars += item.text.length;
        const kept = age < LIMITS.configurationTexts && chars <= LIMITS.configurationTextChars;
        return age === 0 || kept ? item : { ...item, text: '' };
      })
      .reverse();
  }

  private storeResult(submissionId: string, submission: ISubmission): void {
    this.submissions.set(submissionId, submission);
    const [oldest] = this.submissions.keys();
    if (this.submissions.size > LIMITS.submissions && oldest !== undefined) {
      this.submissions.delete(oldest);
    }
  }
}
