/** Command-line flags of the stand-in executables. */
import * as util from 'node:util'
import * as record from '../record.js'

/** Access to flags by name; the value of a list is separated by commas. */
export interface Flags {
  readonly text: (name: string, fallback?: string) => string
  readonly number: (name: string, fallback: number) => number
  readonly list: (name: string) => readonly string[]
  readonly has: (name: string) => boolean
}

/** Parses `--name value` and `--name` flags. */
export const parseFlags = (args: readonly string[]): Flags => {
  const values = new Map<string, string>()
  const { tokens } = util.parseArgs({ args: [...args], strict: false, tokens: true })
  for (const token of tokens) {
    if (token.kind === 'option') values.set(token.name, token.value ?? '')
    else if (token.kind === 'positional') {
      const last = [...values.keys()].at(-1)
      if (last !== undefined && values.get(last) === '') values.set(last, token.value)
    }
  }
  const text = (name: string, fallback?: string): string => {
    const value = values.get(name) ?? fallback
    if (value === undefined) throw new Error(`missing required flag --${name}`)
    return value
  }
  return {
    text,
    number: (name, fallback) => Number(values.get(name) ?? fallback),
    list: (name) => text(name, '').split(',').filter(Boolean),
    has: (name) => values.has(name),
  }
}

/** Creates the recorder for the file given by `--record`. */
export const createFlagRecorder = (flags: Flags, source: string): record.Recorder =>
  record.createRecorder(flags.text('record', ''), source)

/** Reports to the parent process that the stand-in is ready, as one JSON line on standard output. */
export const printReady = (fields: Readonly<Record<string, unknown>>): void => {
  process.stdout.write(`${JSON.stringify({ ready: true, ...fields })}\n`)
}

/** Runs `stop` once on SIGTERM or SIGINT and exits. */
export const stopOnSignal = (stop: () => void): void => {
  const handle = () => {
    stop()
    process.exit(0)
  }
  process.once('SIGTERM', handle)
  process.once('SIGINT', handle)
}
