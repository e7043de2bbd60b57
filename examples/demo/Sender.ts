/** Sends the demo's requests and reads their answers whole. */
import type * as declare from 'anvildeck/declare';
import type * as types from './Types.js';

const EXCERPT_CHARS = 60;

/** Sends one request to an entry. */
export async function send(
  url: string,
  deployment: types.IDemoDeployment,
  request: types.IDemoRequest,
  kinds: readonly declare.IRequestKind[],
): Promise<types.IDemoResult> {
  const started = performance.now();
  const res = await fetch(`${url}${request.path}`, {
    method: request.method,
    headers: {
      authorization: `Bearer ${deployment.keys[request.workspace] ?? ''}`,
      'content-type': 'application/json',
      ...request.headers,
    },
    ...(request.body === undefined ? {} : { body: JSON.stringify(request.body) }),
  });
  const text = await res.text();
  const millis = performance.now() - started;
  const deadlineMs = kinds.find((kind) => kind.name === request.kind)?.deadlineMs ?? 0;
  return {
    request,
    status: res.status,
    run: res.headers.get('x-anvildeck-run') ?? '',
    millis,
    deadlineMs,
    inTime: res.ok && millis <= deadlineMs,
    excerpt: excerptOf(text, request.body?.stream === true),
  };
}

function excerptOf(text: string, streamed: boolean): string {
  const content = streamed ? textOfEvents(text) : text;
  return content.replace(/\s+/g, ' ').slice(0, EXCERPT_CHARS);
}

function textOfEvents(text: string): string {
  const tokens = [...text.matchAll(/"content":("(?:[^"\\]|\\.)*")/g)];
  const joined = tokens.map(([, token]) => JSON.parse(token ?? '""') as string).join('');
  return `${tokens.length} tokens: ${joined}`;
}

/** One request as a curl line. */
export function curlLine(
  url: string,
  deployment: types.IDemoDeployment,
  request: types.IDemoRequest,
): string {
  const headers = {
    authorization: `Bearer ${deployment.keys[request.workspace] ?? ''}`,
    ...request.headers,
  };
  const parts = Object.entries(headers).map(([name, value]) => `-H '${name}: ${value}'`);
  const data = request.body === undefined ? [] : [`-d '${JSON.stringify(request.body)}'`];
  const stream = request.body?.stream === true ? ['-N'] : [];
  return [
    'curl',
    '-s',
    ...stream,
    '-X',
    request.method,
    ...parts,
    ...data,
    `${url}${request.path}`,
  ].join(' ');
}
