/**
 * Evidence that a worker is slow: most of the latest jobs there were slow, while the same images run at normal speed
 * elsewhere. One long run is no evidence, nor is a load under which an image is slow everywhere.
 */

/** A run is slow if it takes this multiple of its median duration. */
const SLOW_FACTOR = 3

/**
 * Jobs of a worker that count: those that started last there. By the time of completion, only long tasks would be left
 * after a burst, which made a healthy worker look slow.
 */
const JOBS_CONSIDERED = 8

/**
 * Slow jobs among them that are evidence. With the stated spread of 0.5, estimates off by 50 % and a tail of 3 %, about
 * one run in eleven is slow, and six of eight are slow by chance in 15 of a million windows.
 */
const MIN_SLOW_JOBS = 6

/** Time after its start from which a run no longer counts, in milliseconds: load and data placement change within half a minute. */
const MAX_RUN_AGE_MS = 30_000

/** Latest runs of an image that show its speed elsewhere, and the fewest of other workers that suffice. */
const RUNS_PER_IMAGE = 32
const MIN_RUNS_ELSEWHERE = 6

/** Largest share of slow runs elsewhere at which an image runs at normal speed there. */
const MAX_SLOW_SHARE_ELSEWHERE = 0.25

/** Limits on what is kept; the least recently observed image or worker is evicted. */
const MAX_IMAGES = 512
const MAX_WORKERS = 1_024

export interface CompletedRun {
  readonly worker: string
  readonly job: string
  readonly image: string
  /** Actual duration as a multiple of the median duration. */
  readonly relativeDuration: number
  readonly startedMs: number
  readonly endedMs: number
}

interface JobOnWorker {
  readonly image: string
  /** Whether every run of the job there was slow. */
  readonly isSlow: boolean
  readonly startedMs: number
}

interface RunOfImage {
  readonly worker: string
  readonly isSlow: boolean
}

export interface SlowWorkers {
  /** Records a completed run and returns whether there is new evidence against its worker. */
  readonly observe: (run: CompletedRun) => boolean
}

/** Sets the newest entry of a map in order of use, and evicts the oldest one beyond `limit`. */
const setNewest = <Value>(
  map: Map<string, Value>,
  key: string,
  value: Value,
  limit: number,
): void => {
  map.delete(key)
  map.set(key, value)
  const oldest = map.keys().next()
  if (map.size > limit && oldest.done !== true) map.delete(oldest.value)
}

export const createSlowWorkers = (): SlowWorkers => {
  const runsByImage = new Map<string, readonly RunOfImage[]>()
  const jobsByWorker = new Map<string, Map<string, JobOnWorker>>()

  const isNormalElsewhere = (image: string, worker: string): boolean => {
    const elsewhere = (runsByImage.get(image) ?? []).filter((run) => run.worker !== worker)
    const slowCount = elsewhere.filter(({ isSlow }) => isSlow).length
    return (
      elsewhere.length >= MIN_RUNS_ELSEWHERE &&
      slowCount <= MAX_SLOW_SHARE_ELSEWHERE * elsewhere.length
    )
  }

  const recordOnWorker = (run: CompletedRun, isSlow: boolean): Map<string, JobOnWorker> => {
    const known = new Map(jobsByWorker.get(run.worker))
    const isAllSlow = isSlow && (known.get(run.job)?.isSlow ?? true)
    known.set(run.job, { image: run.image, isSlow: isAllSlow, startedMs: run.startedMs })
    const latest = [...known]
      .filter(([, { startedMs }]) => run.endedMs - startedMs <= MAX_RUN_AGE_MS)
      .sort(([, a], [, b]) => b.startedMs - a.startedMs)
      .slice(0, JOBS_CONSIDERED)
    const jobs = new Map(latest)
    setNewest(jobsByWorker, run.worker, jobs, MAX_WORKERS)
    return jobs
  }

  return {
    observe: (run) => {
      const isSlow = run.relativeDuration > SLOW_FACTOR
      const runs = [...(runsByImage.get(run.image) ?? []), { worker: run.worker, isSlow }]
      setNewest(runsByImage, run.image, runs.slice(-RUNS_PER_IMAGE), MAX_IMAGES)
      const jobs = recordOnWorker(run, isSlow)
      if (!isSlow) return false
      let slowJobs = 0
      for (const { image, isSlow: isSlowJob } of jobs.values()) {
        if (isSlowJob && isNormalElsewhere(image, run.worker)) slowJobs += 1
      }
      if (slowJobs < MIN_SLOW_JOBS) return false
      // The same runs are no evidence a second time.
      jobs.clear()
      return true
    },
  }
}
