import * as cli from '@ebonyweir/cli'
import * as stream from 'node:stream'

export interface CliRun {
  readonly code: number
  readonly stdout: string
  readonly stderr: string
}

/** Runs the CLI in this process and captures its output. */
export async function runCli(
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): Promise<CliRun> {
  const [stdout, stderr] = [createSink(), createSink()]
  const code = await cli.runCli(args, { env, stdout: stdout.sink, stderr: stderr.sink })
  return { code, stdout: stdout.read(), stderr: stderr.read() }
}

function createSink() {
  const chunks: string[] = []
  const sink = new stream.Writable({
    write: (chunk: Buffer, _encoding, done) => {
      chunks.push(chunk.toString())
      done()
    },
  })
  return { sink, read: () => chunks.join('') }
}
