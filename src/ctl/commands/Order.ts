/** `anvildeckctl order` and `orders`: orders engines to load, unload or change role, and lists such orders. */
import * as crypto from 'node:crypto';
import type * as control from '#wire/control.js';
import type * as commander from 'commander';
import * as declarations from '../../config/Declaration.js';
import type * as configTypes from '../../config/Types.js';
import type * as controlClient from '../../control/client/ControlClient.js';
import * as session from '../Session.js';
import type * as types from '../Types.js';
import * as usage from '../UsageError.js';
import * as versions from '../Versions.js';

interface IOrderOptions {
  readonly endpoint: string;
  readonly model?: string;
  readonly adapter?: string;
  readonly modelVersion?: string;
  readonly role?: string;
  readonly id?: string;
}

async function findEndpoint(
  client: controlClient.ControlClient,
  name: string,
): Promise<configTypes.IEndpoint> {
  const { text } = await versions.fetchVersion(client, 0);
  const { pools } = declarations.parseDeclaration('declaration', text);
  const found = pools.flatMap((pool) => pool.endpoints).find((endpoint) => endpoint.name === name);
  if (found === undefined) {
    throw new usage.UsageError(`endpoint ${name} is not in the declaration in force`);
  }
  return found;
}

async function createOrder(
  action: string,
  options: IOrderOptions,
  ctx: types.ICommandContext,
): Promise<void> {
  const orderId = options.id ?? crypto.randomUUID();
  // Printed before the call: if the answer is lost, the operator can resend the order under this id.
  ctx.write(`order ${orderId}\n`);
  await session.withControl(ctx, async (client) => {
    const { name, address, checksFencing } = await findEndpoint(client, options.endpoint);
    const { model = '', adapter = '', modelVersion = '', role = '' } = options;
    const orderCreate: control.wire.OrderCreate.$Properties = {
      ...{ orderId, endpoint: name, address, checksFencing, action },
      ...{ model, adapter, version: modelVersion, role },
    };
    const { order } = await client.execute({ orderCreate });
    ctx.write(`${order?.order?.state ?? 'unknown'}; see anvildeckctl orders\n`);
  });
}

async function listOrders(ctx: types.ICommandContext): Promise<void> {
  const { orders } = await session.withControl(ctx, (client) => client.query({ orders: {} }));
  orders?.orders.forEach((order) => {
    const { orderId, endpoint, action, model, adapter, version, role, state, fence } = order;
    const content = [model, adapter, version, role].filter((part) => part !== '').join(' ');
    const fenceText = fence === 0 ? '' : `fence ${fence}`;
    const line = [orderId, endpoint, action, content, state, fenceText, order.detail].join('  ');
    ctx.write(`${line.trimEnd()}\n`);
  });
  ctx.write(`${orders?.orders.length ?? 0} orders\n`);
}

/** Adds the commands to the program. */
export function addOrder(program: commander.Command, ctx: types.ICommandContext): void {
  const order = program
    .command('order')
    .description('order an engine to load, unload or change role');
  const addAction = (action: string, name: string, text: string): commander.Command =>
    order
      .command(name)
      .description(text)
      .requiredOption('--endpoint <name>', 'endpoint as declared')
      .option('--id <id>', 'id of an order whose answer was lost, to send it again')
      .action((options: IOrderOptions) => createOrder(action, options, ctx));
  addAction('load', 'load', 'load a model, an adapter or a version')
    .requiredOption('--model <name>', 'model')
    .option('--adapter <name>', 'adapter')
    .option('--model-version <version>', 'version of the model');
  addAction('unload', 'unload', 'drop a model').requiredOption('--model <name>', 'model');
  addAction('set-role', 'role', 'change the role').requiredOption(
    '--role <role>',
    'both, prefill or decode',
  );
  program
    .command('orders')
    .description('list orders, oldest first')
    .action(() => listOrders(ctx));
}
