/** Memory and CPU time of a process, read from /proc. */
import * as fs from 'node:fs'

export interface Memory {
  readonly residentMb: number
  /** Memory that is not backed by a file. */
  readonly anonymousMb: number
}

/** Clock ticks per second in /proc/PID/stat. */
const TICKS_PER_SECOND = 100
const UTIME_FIELD = 13
const STIME_FIELD = 14

/** Reads /proc/PID/smaps_rollup. */
export const readMemory = (pid: number): Memory => {
  const text = fs.readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8')
  const megabytes = (name: string): number => {
    const kilobytes = new RegExp(`^${name}:\\s+(\\d+) kB`, 'm').exec(text)?.[1] ?? '0'
    return Number(kilobytes) / 1_024
  }
  return { residentMb: megabytes('Rss'), anonymousMb: megabytes('Anonymous') }
}

/** CPU time of a process since its start. */
export const readCpuSeconds = (pid: number): number => {
  const text = fs.readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  // The first two fields, process id and name, were cut off.
  const ticks = Number(fields[UTIME_FIELD - 2]) + Number(fields[STIME_FIELD - 2])
  return ticks / TICKS_PER_SECOND
}
