import * as childProcess from 'node:child_process';
import * as readline from 'node:readline';
import type * as stream from 'node:stream';

const STOP_TIMEOUT_MS = 10_000;

/** One process of the demo; its log goes to the sink. */
export class Process {
  private readonly child: childProcess.ChildProcessByStdio<null, stream.Readable, stream.Readable>;

  private readonly exited: Promise<number | null>;

  private readonly output: string[] = [];

  /** Starts a compiled binary with arguments. */
  constructor(
    readonly name: string,
    script: string,
    args: readonly string[],
    private readonly onLog: (line: string) => void,
  ) {
    this.child = childProcess.spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code) => resolve(code));
    });
    readline.createInterface({ input: this.child.stdout }).on('line', (line) => {
      this.output.push(line);
    });
    readline.createInterface({ input: this.child.stderr }).on('line', onLog);
  }

  /** Lines of standard output so far. */
  get lines(): readonly string[] {
    return this.output;
  }

  /** Whether it has ended. */
  get ended(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** Resolves with the exit code when it ends by itself. */
  wait(): Promise<number | null> {
    return this.exited;
  }

  /** Sends SIGKILL, as a VM that dies; resolves when it is gone. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /** Sends SIGTERM, and SIGKILL when that does not end it. */
  async stop(): Promise<number | null> {
    if (this.ended) {
      return this.exited;
    }
    this.child.kill('SIGTERM');
    const timer = setTimeout(() => this.child.kill('SIGKILL'), STOP_TIMEOUT_MS);
    const code = await this.exited;
    clearTimeout(timer);
    return code;
  }
}
