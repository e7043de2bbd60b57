import type * as commonServices from '../../common/services/Services.js';
import * as knownLeader from '../KnownLeader.js';
import * as notLeader from '../replication/NotLeaderError.js';
import type * as controlTypes from '../Types.js';
import * as documentState from './DocumentState.js';

/** Answer to a submission. */
export type SubmitAnswer =
  /** The command was committed and applied. */
  | { readonly kind: 'acknowledged'; readonly result: documentState.SubmitResult }
  /** The version in force has the same number and a different text. */
  | { readonly kind: 'conflict' }
  /** Another replica leads and must handle the request; `leaderId` is undefined while no leader is known. */
  | { readonly kind: 'elsewhere'; readonly leaderId: string | undefined }
  /** The submission failed without a confirmed outcome; the document may or may not come into force. */
  | { readonly kind: 'unknown'; readonly reason: string };

/**
 * Answer to a read; `none` until a document has been accepted, `elsewhere` when the read was not confirmed here.
 */
export type ReadAnswer =
  | { readonly kind: 'document'; readonly document: documentState.IDocument }
  | { readonly kind: 'none' }
  | { readonly kind: 'elsewhere'; readonly leaderId: string | undefined };

/**
 * Submits and reads the document through the replicated log. A submission is acknowledged once a quorum holds it
 * on disk.
 */
export class DocumentService {
  /** Serves the document in `state`, the state machine of `log`. */
  constructor(
    private readonly log: controlTypes.IReplicatedLog,
    private readonly state: documentState.DocumentState,
    private readonly logService: commonServices.ILogService,
  ) {}

  /** Proposes a document that has already been validated. */
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

  /** Reads the document in force after a quorum has confirmed that this replica still leads. */
  async read(): Promise<ReadAnswer> {
    try {
      await this.log.readBarrier();
    } catch (err) {
      if (!(err instanceof notLeader.NotLeaderError)) {
        this.logService.warn('document-read-refused', { reason: (err as Error).message });
      }
      return { kind: 'elsewhere', leaderId: knownLeader.otherLeaderId(this.log.status()) };
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
        return { kind: 'elsewhere', leaderId: knownLeader.otherLeaderId(this.log.status()) };
      }
      return { kind: 'unknown', reason: (err as Error).message };
    }
  }
}
