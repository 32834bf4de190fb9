/** JSON-lines logger for the daemons. */
import * as winston from 'winston'

/** Fields of a log line besides its message. */
export type LogFields = Readonly<Record<string, unknown>>

/** Writes one JSON line per call. */
export interface Logger {
  debug(message: string, fields?: LogFields): void
  info(message: string, fields?: LogFields): void
  warn(message: string, fields?: LogFields): void
  error(message: string, fields?: LogFields): void
}

/** Least severe level that is written. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

/** Options of `createLogger`. */
export interface LoggerOptions {
  /** @default 'info' */
  readonly level?: LogLevel
  /** Added to every line, for example role, name and cell. */
  readonly fields?: LogFields
  /** @default process.stdout */
  readonly stream?: NodeJS.WritableStream
}

/** Creates a logger whose lines hold `timestamp`, `level`, `message` and the fields. */
export function createLogger(options: LoggerOptions = {}): Logger {
  const { format } = winston
  const stream = options.stream ?? process.stdout
  const logger = winston.createLogger({
    level: options.level ?? 'info',
    defaultMeta: options.fields ?? {},
    format: format.combine(format.timestamp(), format.json()),
    // winston types its transports as interfaces with a construct signature, which the rule rejects.
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
    transports: [new winston.transports.Stream({ stream, eol: '\n' })],
  })
  const write =
    (level: LogLevel) =>
    (message: string, fields: LogFields = {}): void => {
      logger.log({ ...fields, level, message })
    }
  return { debug: write('debug'), info: write('info'), warn: write('warn'), error: write('error') }
}

/** Creates a logger that discards every line, for tests and for callers without a log. */
export function createSilentLogger(): Logger {
  const discard = (): void => undefined
  return { debug: discard, info: discard, warn: discard, error: discard }
}
