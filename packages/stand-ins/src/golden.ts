/**
 * Golden sessions: text files in which lines with ">" are inputs and lines with "<" are the outputs that
 * the code gave when the file was last updated with `npm run golden:update`.
 */
import * as fs from 'node:fs'
import * as path from 'node:path'

/** Returns the output lines for one input line, which is given without its ">". */
export type Interpreter = (input: string) => readonly string[]

const isUpdate = (): boolean => process.env.EBONYWEIR_GOLDEN_UPDATE === '1'

/** Replays the inputs of a session and returns it with the current outputs. */
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

/** File names of the sessions in a folder, sorted. */
export const listSessions = (folder: string): readonly string[] =>
  fs
    .readdirSync(folder)
    .filter((name) => name.endsWith('.txt'))
    .toSorted()

/** Replays the session in a file; the file is rewritten only by `npm run golden:update`. */
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
