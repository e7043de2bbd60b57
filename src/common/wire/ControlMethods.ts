/** gRPC methods of the control group, called by entry VMs and operators. */
import * as control from '#wire/control.js';
import type * as rpc from './Rpc.js';

const { wire } = control;
const SERVICE = '/anvildeck.Control';

function unary<Req, Res>(
  name: string,
  request: rpc.IMethod<Req, Res>['request'],
  response: rpc.IMethod<Req, Res>['response'],
): rpc.IMethod<Req, Res> {
  return { path: `${SERVICE}/${name}`, request, response, responseStream: false };
}

/** All methods by name; commands change the replicated state, queries only read it. */
export const METHODS = {
  /** Appends a command to the replicated log and returns its result once it is applied. */
  execute: unary('Execute', wire.Command, wire.Result),
  /** Reads the current state; a quorum confirms that the read is linearizable. */
  query: unary('Query', wire.Query, wire.Answer),
  /** Renews the lease of an entry VM; returns once a quorum has stored the renewal. */
  heartbeat: unary('Heartbeat', wire.HeartbeatRequest, wire.HeartbeatResponse),
  /** Long poll: returns when a ledger record is no longer running, or after a time limit. */
  ledgerWait: unary('LedgerWait', wire.LedgerWaitRequest, wire.LedgerWaitResponse),
  /** Adds, promotes or removes members of the control group. */
  changeMembership: unary('ChangeMembership', wire.MembershipRequest, wire.MembershipResponse),
  /** Streams each newer configuration and quarantine list. */
  watch: { ...unary('Watch', wire.WatchRequest, wire.WatchUpdate), responseStream: true },
} as const;
