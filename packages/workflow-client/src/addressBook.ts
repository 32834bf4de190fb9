/** Addresses of the control group: those from the settings and those learned from replies. */
import type * as protocol from '@ebonyweir/protocol'

/** Time for which an address that did not answer is not tried on another replica's word, in milliseconds. */
const SUSPECT_MS = 500

/** Picks the replica to call next. */
export interface AddressBook {
  /** Notes what a reply said about the leader and the members. */
  readonly learn: (hint: protocol.workflow.LeaderHint | undefined) => void
  /** Notes that the replica at `address` leads. */
  readonly confirm: (address: string) => void
  /** Notes that the replica at `address` did not answer or does not lead. */
  readonly reject: (address: string, silent: boolean) => void
  /**
   * Address to try next; undefined if none is known or all are busy.
   *
   * @param isBusy whether an answer from an address is being waited for @default none is
   */
  readonly next: (isBusy?: (address: string) => boolean) => string | undefined
}

/**
 * @param seeds addresses from the settings; read at each call, since a reload may change them
 * @param nowMs monotonic clock
 */
export const createAddressBook = (
  seeds: () => readonly string[],
  nowMs: () => number,
): AddressBook => {
  let members: readonly string[] = []
  let leader: string | undefined
  let position = 0
  const suspectedUntilMs = new Map<string, number>()

  const isSuspect = (address: string): boolean => (suspectedUntilMs.get(address) ?? 0) > nowMs()

  const known = (): readonly string[] => [...new Set([...members, ...seeds()])]

  return {
    learn: (hint) => {
      if (hint === undefined) return
      if (hint.members.length > 0) members = hint.members
      if (hint.leader !== '' && !isSuspect(hint.leader)) leader = hint.leader
    },
    confirm: (address) => {
      leader = address
      suspectedUntilMs.delete(address)
    },
    reject: (address, silent) => {
      if (leader === address) leader = undefined
      if (silent) suspectedUntilMs.set(address, nowMs() + SUSPECT_MS)
      else suspectedUntilMs.delete(address)
    },
    next: (isBusy = () => false) => {
      if (leader !== undefined && !isBusy(leader)) return leader
      const addresses = known().filter((address) => !isBusy(address))
      position += 1
      const fresh = addresses.filter((address) => !isSuspect(address))
      const candidates = fresh.length > 0 ? fresh : addresses
      return candidates[position % Math.max(1, candidates.length)]
    },
  }
}
