import type * as commonServices from '../../common/services/Services.js';
import * as notLeader from '../replication/NotLeaderError.js';
import type * as controlTypes from '../Types.js';
import * as documentState from './DocumentState.js';

/** What an operator is told. */
export type SubmitAnswer =
  | { readonly kind: 'acknowledged'; readonly result: documentState.SubmitResult }
  | { readonly kind: 'conflict' }
  /** Ask the leader; undefined when none is known. */
  | { readonly kind: 'elsewhere'; readonly leaderId: string | undefined }
  /** It may or may not be in force. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** What a reader is told. */
export type ReadAnswer =
  | { readonly kind: 'document'; readonly document: documentState.IDocument }
  | { readonly kind: 'none' }
  | { readonly kind: 'elsewhere'; readonly leaderId: string | undefined };

/** Submits and reads the document through the log: acknowledged is what a quorum holds on disk. */
export class DocumentService {
  /** Serves `state`, which `log` drives. */
  constructor(
    private readonly log: controlTypes.IReplicatedLog,
    private readonly state: documentState.DocumentState,
    private readonly logService: commonServices.ILogService,
  ) {}

  /** Submits a checked document. */
  async submit(document: documentState.IDocument): Promise<SubmitAnswer> {
    const answer = await this.propose(document);
    if (answer.kind !== 'elsewhere') {
      this.logService.info('document-submitted', {
        version: document.version,
        bytes: document.text.length,
        held: this.state.current?.version,
        outcome: answer.kind,
        reason: 'reason' in answer ? answer.reason : undefined,
      });
    }
    return answer;
  }

  /** Reads the newest document, confirmed by a quorum. */
  async read(): Promise<ReadAnswer> {
    try {
      await this.log.readBarrier();
    } catch (err) {
      if (!(err instanceof notLeader.NotLeaderError)) {
        this.logService.warn('document-read-refused', { reason: (err as Error).message });
      }
      return { kind: 'elsewhere', leaderId: this.leaderElsewhere() };
    }
    const document = this.state.current;
    return document === undefined ? { kind: 'none' } : { kind: 'document', document };
  }

  private async propose(document: documentState.IDocument): Promise<SubmitAnswer> {
    try {
      const bytes = await this.log.propose(documentState.DocumentState.encode(document));
      const result = documentState.DocumentState.decodeResult(bytes);
      return result === 'conflict' ? { kind: 'conflict' } : { kind: 'acknowledged', result };
    } catch (err) {
      if (err instanceof notLeader.NotLeaderError) {
        return { kind: 'elsewhere', leaderId: this.leaderElsewhere() };
      }
      return { kind: 'unknown', reason: (err as Error).message };
    }
  }

  private leaderElsewhere(): string | undefined {
    const { leaderId, id } = this.log.status();
    return leaderId === id ? undefined : leaderId;
  }
}
