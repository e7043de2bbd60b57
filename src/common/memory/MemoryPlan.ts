import type * as types from './Types.js';

/** Part of a VM's memory that one process holds for its peers; the rest is code, heap and garbage of two processes. */
const HARD_RATIO = 0.12;
const SOFT_RATIO = 0.08;
/** Part of a VM's memory for open connections. */
const CONNECTION_RATIO = 0.08;
/** Memory of one open connection that sends nothing. */
const CONNECTION_BYTES = 16_384;
/** Descriptors that are left to files, and to connections between VMs. */
const RESERVED_DESCRIPTORS = 400;
/** Connections to endpoints and of tunnels may take as many descriptors as those of callers. */
const CALLER_DESCRIPTOR_RATIO = 0.5;
const MIN_CONNECTIONS = 16;
const BYTES_PER_MB = 1_000_000;
/** Two of the largest requests and their responses must fit. */
const MIN_SOFT_BYTES = 8_388_608;

/** What a VM has for all its processes. */
export interface IVmLimits {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

/** What one process may hold for its peers. */
export interface IMemoryPlan extends types.IBudgetLimits {
  /** Open connections of callers. */
  readonly connections: number;
}

/** A limit of a VM that is too low. */
export interface IPlanFinding {
  readonly field: 'memory' | 'descriptors';
  readonly message: string;
  readonly expected: string;
}

/**
 * Divides the limits of a VM. Findings name limits that are too low to serve callers.
 *
 * @example
 * const { plan, findings } = planMemory({ memoryBytes: 210e6, descriptors: 3075 });
 */
export function planMemory(vm: IVmLimits): {
  readonly plan: IMemoryPlan;
  readonly findings: readonly IPlanFinding[];
} {
  const softBytes = Math.floor(vm.memoryBytes * SOFT_RATIO);
  const hardBytes = Math.floor(vm.memoryBytes * HARD_RATIO);
  const byMemory = Math.floor((vm.memoryBytes * CONNECTION_RATIO) / CONNECTION_BYTES);
  const byDescriptors = Math.floor(
    (vm.descriptors - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_RATIO,
  );
  const findings: IPlanFinding[] = [];
  if (softBytes < MIN_SOFT_BYTES) {
    const leastMb = Math.ceil(MIN_SOFT_BYTES / SOFT_RATIO / BYTES_PER_MB);
    findings.push(tooLow('memory', `${leastMb} MB or more`));
  }
  if (byDescriptors < MIN_CONNECTIONS) {
    const least = RESERVED_DESCRIPTORS + MIN_CONNECTIONS / CALLER_DESCRIPTOR_RATIO;
    findings.push(tooLow('descriptors', `${least} or more`));
  }
  return {
    plan: { softBytes, hardBytes, connections: Math.min(byMemory, byDescriptors) },
    findings,
  };
}

function tooLow(field: IPlanFinding['field'], expected: string): IPlanFinding {
  return { field, message: 'is too low to serve callers', expected };
}
