/** Exit codes of `anvildeckctl`, as documented in docs/operations. */
export const EXIT_CODES = {
  /** The command succeeded. */
  ok: 0,
  /** The command reported findings, or the control group rejected the call or did not answer. */
  findings: 1,
  /** The command line was invalid. */
  usage: 2,
} as const;

/** Any of the values of EXIT_CODES. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** Text that a command prints and the exit code of the process. */
export interface ICommandOutput {
  readonly text: string;
  readonly exitCode: ExitCode;
}
