/**
 * Golden sessions: text files in which lines with ">" are what happens and lines with "<" are what the
 * code answered when the file was last refreshed with `npm run golden:update`.
 */
import * as fs from 'node:fs'
import * as path from 'node:path'

/** Answers one input line, without its ">"; one string per answer line. */
export type Interpreter = (input: string) => readonly string[]

const isUpdate = (): boolean => process.env.EBONYWEIR_GOLDEN_UPDATE === '1'

/** Plays a session and gives it back with the answers of now. */
export const replaySession = (recorded: string, interpret: Interpreter): string =>
  recorded
    .split('\n')
    .filter((line) => !line.startsWith('<'))
    .flatMap((line) =>
      line.startsWith('> ')
        ? [line, ...interpret(line.slice(2)).map((answer) => `< ${answer}`)]
        : [line],
    )
    .join('\n')

/** Sessions of a folder by file name, in order. */
export const listSessions = (folder: string): readonly string[] =>
  fs
    .readdirSync(folder)
    .filter((name) => name.endsWith('.txt'))
    .toSorted()

/** Plays the session in a file; the file is rewritten only by `npm run golden:update`. */
export const replayFile = (
  folder: string,
  name: string,
  interpret: Interpreter,
): { readonly recorded: string; readonly replayed: string } => {
  const file = path.join(folder, name)
  const recorded = fs.readFileSync(file, 'utf8')
  const replayed = replaySession(recorded, interpret)
  if (!isUpdate()) return { recorded, replayed }
  fs.writeFileSync(file, replayed)
  return { recorded: replayed, replayed }
}
