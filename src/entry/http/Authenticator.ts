import * as lruCache from 'lru-cache';
import * as keyHash from '../../common/KeyHash.js';
import * as requestError from '../../common/RequestError.js';
import type * as configTypes from '../../config/Types.js';

/** Most recently used keys whose verification is cached; bounds memory and is not a setting. */
const MAX_CACHED_KEYS = 4096;

interface IKeyEntry {
  readonly workspace: string;
  readonly storedHash: configTypes.IKeyHash;
}

/** Maps a caller's workspace key (RFC 6750 bearer token) to its workspace. */
export class Authenticator {
  private readonly entriesByKeyId = new Map<string, IKeyEntry>();

  private readonly verifiedKeys = new lruCache.LRUCache<string, string>({ max: MAX_CACHED_KEYS });

  /** Indexes the workspace keys of one configuration by key id. */
  constructor(declaration: configTypes.IDeclaration) {
    declaration.workspaces.forEach((workspace) => {
      workspace.keys.forEach((storedHash) => {
        this.entriesByKeyId.set(storedHash.id, { workspace: workspace.name, storedHash });
      });
    });
  }

  /**
   * Returns the name of the workspace whose key the `Authorization` header carries.
   *
   * @throws RequestError `bad-key` when the header is absent or malformed, or the key is unknown.
   */
  workspaceOf(authorization: string | undefined): string {
    const text = /^Bearer (\S+)$/i.exec(authorization ?? '')?.[1];
    if (text === undefined) {
      throw badKey('send the workspace key as "Authorization: Bearer avd_..."');
    }
    const workspace = this.verifiedKeys.get(text) ?? this.verifyKey(text);
    if (workspace === undefined) {
      throw badKey(
        'the workspace key is not in the current configuration; request a new key from the operator',
      );
    }
    this.verifiedKeys.set(text, workspace);
    return workspace;
  }

  private verifyKey(text: string): string | undefined {
    const parts = keyHash.parseKey(text);
    const entry = parts && this.entriesByKeyId.get(parts.id);
    if (!parts || !entry || !keyHash.verifyKey(entry.storedHash, parts.secret)) {
      return undefined;
    }
    return entry.workspace;
  }
}

function badKey(message: string): requestError.RequestError {
  return new requestError.RequestError('bad-key', message, {
    run: 'not-run',
    param: 'Authorization',
  });
}
