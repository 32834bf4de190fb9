/** Addresses of the control group, from the settings and from leader hints in replies. */
import type * as protocol from '@ebonyweir/protocol'

/** Time for which hints that name an unresponsive address are ignored and other addresses are tried first. */
const SUSPECT_PERIOD_MS = 500

/** Picks the replica to call next. */
export interface AddressBook {
  /** Applies the leader and the members that a reply named. */
  readonly applyHint: (hint: protocol.workflow.LeaderHint | undefined) => void
  /** Records that the replica at `address` is the leader. */
  readonly confirm: (address: string) => void
  /** Records that the replica at `address` is unresponsive, or reachable but not the leader. */
  readonly reject: (address: string, unresponsive: boolean) => void
  /**
   * Address to try next; undefined if none is known or all are busy.
   *
   * @param isBusy whether an attempt at an address is already open @default never
   */
  readonly next: (isBusy?: (address: string) => boolean) => string | undefined
}

/**
 * @param seeds addresses from the settings; read on every call, since a reload can change them
 * @param nowMs monotonic clock
 */
export const createAddressBook = (
  seeds: () => readonly string[],
  nowMs: () => number,
): AddressBook => {
  let members: readonly string[] = []
  let leader: string | undefined
  let roundRobinIndex = 0
  const suspectedUntilMs = new Map<string, number>()

  const isSuspect = (address: string): boolean => (suspectedUntilMs.get(address) ?? 0) > nowMs()

  const knownAddresses = (): readonly string[] => [...new Set([...members, ...seeds()])]

  return {
    applyHint: (hint) => {
      if (hint === undefined) return
      if (hint.members.length > 0) members = hint.members
      if (hint.leader !== '' && !isSuspect(hint.leader)) leader = hint.leader
    },
    confirm: (address) => {
      leader = address
      suspectedUntilMs.delete(address)
    },
    reject: (address, unresponsive) => {
      if (leader === address) leader = undefined
      if (unresponsive) suspectedUntilMs.set(address, nowMs() + SUSPECT_PERIOD_MS)
      else suspectedUntilMs.delete(address)
    },
    next: (isBusy = () => false) => {
      if (leader !== undefined && !isBusy(leader)) return leader
      const addresses = knownAddresses().filter((address) => !isBusy(address))
      roundRobinIndex += 1
      const unsuspected = addresses.filter((address) => !isSuspect(address))
      const candidates = unsuspected.length > 0 ? unsuspected : addresses
      return candidates[roundRobinIndex % Math.max(1, candidates.length)]
    },
  }
}
