import * as control from '#wire/control.js';
import * as pattern from 'ts-pattern';
import type * as commonTypes from '../../common/Types.js';
import * as messages from '../../common/wire/Messages.js';
import * as declaration from '../../config/Declaration.js';
import * as limits from '../state/Limits.js';
import type * as stateTypes from '../state/Types.js';
import type * as controlTypes from '../Types.js';
import * as notAuthorized from './NotAuthorizedError.js';
import type * as services from './Services.js';

const MAX_ZONE_NAME_CHARS = 100;

type CommandType = keyof Omit<stateTypes.Command, 'time' | 'actor' | 'body'>;
/** The least privileged caller that may send a command; `internal` commands come from the control group only. */
type Permission = 'entry' | 'operator' | 'internal';

/** Required permission of each command type. */
const PERMISSIONS: Readonly<Record<CommandType, Permission>> = {
  apply: 'operator',
  ledgerBegin: 'entry',
  ledgerFinish: 'entry',
  ledgerResolve: 'operator',
  ledgerForget: 'operator',
  tick: 'internal',
  crashReport: 'entry',
  quarantineLift: 'operator',
  zoneOrder: 'operator',
  accountingReport: 'entry',
  orderCreate: 'operator',
  orderClaim: 'internal',
  orderSettle: 'internal',
};

/** Authorizes and validates commands, adds the current time and proposes them to the log. */
export class CommandService implements services.ICommandService {
  /** Proposes to `log` with times from `clock`. */
  constructor(
    private readonly log: controlTypes.IReplicatedLog,
    private readonly clock: commonTypes.IClock,
  ) {}

  /** @inheritdoc */
  async execute(command: stateTypes.Command, caller: services.ICaller): Promise<Uint8Array> {
    const commandType = commandTypeOf(command);
    const permission = commandType === undefined ? 'internal' : PERMISSIONS[commandType];
    pattern
      .match({ permission, caller })
      .with({ permission: 'entry' }, () => {})
      .with({ permission: 'operator', caller: { operator: true } }, () => {})
      .with({ permission: 'operator' }, () => {
        throw new notAuthorized.NotAuthorizedError('this command needs an operator key');
      })
      .with({ permission: 'internal' }, () => {
        throw new notAuthorized.NotAuthorizedError(
          'this command is reserved for the control group',
        );
      })
      .exhaustive();
    if (command.zoneOrder !== null) {
      checkZone(command.zoneOrder.zone);
    }
    if (command.apply !== null) {
      checkDeclaration(command.apply.text, command.apply.baseVersion);
    }
    // An entry states its own name in the command; an operator's name comes from its key.
    const actor = permission === 'operator' ? caller.name : command.actor;
    return this.propose({ ...messages.asProperties(command), actor });
  }

  /** @inheritdoc */
  propose(command: control.wire.Command.$Properties): Promise<Uint8Array> {
    const stamped = { ...command, time: this.clock.now() };
    return this.log.propose(messages.encode(control.wire.Command, stamped));
  }
}

function commandTypeOf(command: stateTypes.Command): CommandType | undefined {
  const commandTypes = Object.keys(PERMISSIONS) as CommandType[];
  return commandTypes.find((name) => command[name] !== null);
}

/** Throws RangeError for a name that no zone can have. */
function checkZone(zone: string): void {
  if (zone === '' || zone.length > MAX_ZONE_NAME_CHARS) {
    throw new RangeError(`a zone's name has 1 to ${MAX_ZONE_NAME_CHARS} characters`);
  }
}

/** Throws for a declaration that no entry could apply; RangeError for one that is too long or a bad version. */
function checkDeclaration(text: string, baseVersion: number): void {
  if (text.length > limits.LIMITS.declarationChars) {
    throw new RangeError(
      `the declaration is longer than ${limits.LIMITS.declarationChars} characters`,
    );
  }
  if (!Number.isSafeInteger(baseVersion) || baseVersion < 0) {
    throw new RangeError('the base version is not a non-negative integer');
  }
  declaration.parseDeclaration('declaration', text);
}
