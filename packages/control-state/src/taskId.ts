/** Task ids: "<job>/<n>" for batch tasks, "service/<name>/<n>" for runners of a service. */

export interface TaskId {
  readonly kind: 'batch' | 'service'
  readonly owner: string
  readonly number: number
}

const NUMBER = /^(0|[1-9][0-9]{0,8})$/

export const parseTaskId = (task: string): TaskId | undefined => {
  const parts = task.split('/')
  const last = parts.at(-1) ?? ''
  if (!NUMBER.test(last)) return undefined
  const number = Number(last)
  if (parts.length === 3 && parts[0] === 'service')
    return { kind: 'service', owner: parts[1] ?? '', number }
  if (parts.length === 2) return { kind: 'batch', owner: parts[0] ?? '', number }
  return undefined
}

export const serviceTaskId = (service: string, number: number): string =>
  `service/${service}/${number}`

export const batchTaskId = (job: string, number: number): string => `${job}/${number}`
