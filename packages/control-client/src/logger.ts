/** Structured logger of a process. */
export interface Logger {
  readonly debug: (message: string, fields?: LogFields) => void
  readonly info: (message: string, fields?: LogFields) => void
  readonly warn: (message: string, fields?: LogFields) => void
  readonly error: (message: string, fields?: LogFields) => void
}

export type LogFields = Readonly<Record<string, unknown>>

const ignore = (): void => undefined

/** Logger that discards all messages. */
export const silentLogger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore }
