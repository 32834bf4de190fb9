/** CPU time and memory of a process, read from /proc. */
import * as fs from 'node:fs'

/** CPU time and memory of a process at one time. */
export interface ProcessUse {
  readonly atMs: number
  /** CPU time since the start of the process. */
  readonly cpuMs: number
  readonly residentMb: number
  readonly anonymousMb: number
}

const TICKS_PER_SECOND = 100

const rollupMb = (text: string, field: string): number =>
  Number(new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(text)?.[1] ?? 0) / 1024

/** Reads the current CPU time and memory of a process. */
export const readUse = (pid: number): ProcessUse => {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  const rollup = fs.readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8')
  return {
    atMs: performance.now(),
    cpuMs: (ticks * 1000) / TICKS_PER_SECOND,
    residentMb: rollupMb(rollup, 'Rss'),
    anonymousMb: rollupMb(rollup, 'Anonymous'),
  }
}

/** Share of one core used between two readings, in percent. */
export const corePercent = (before: ProcessUse, after: ProcessUse): number =>
  ((after.cpuMs - before.cpuMs) * 100) / (after.atMs - before.atMs)
