import * as workflowClient from '@ebonyweir/workflow-client'
import * as vitest from 'vitest'

const { describe, expect, it } = vitest

describe('address book', () => {
  it('keeps a confirmed leader and leaves one that became unresponsive', () => {
    let nowMs = 0
    const book = workflowClient.createAddressBook(
      () => ['a', 'b'],
      () => nowMs,
    )
    book.confirm('b')
    expect([book.next(), book.next()]).toEqual(['b', 'b'])
    book.reject('b', true)
    // Another replica may not have detected the failure of the leader yet.
    book.applyHint({ leader: 'b', members: [] })
    expect([book.next(), book.next()]).toEqual(['a', 'a'])
    nowMs += 501
    expect(new Set([book.next(), book.next()])).toEqual(new Set(['a', 'b']))
  })

  it('follows a hint and adds members that are missing from the settings', () => {
    const book = workflowClient.createAddressBook(
      () => ['a'],
      () => 0,
    )
    book.applyHint({ leader: 'c', members: ['c', 'd'] })
    expect(book.next()).toBe('c')
    book.reject('c', true)
    book.reject('d', true)
    expect(book.next()).toBe('a')
  })

  it('guards against seeds that stay in use after a reload of the settings', () => {
    let seeds = ['a']
    const book = workflowClient.createAddressBook(
      () => seeds,
      () => 0,
    )
    expect(book.next()).toBe('a')
    seeds = ['z']
    expect(book.next()).toBe('z')
  })

  it('guards against a second attempt at a replica with an open one', () => {
    const book = workflowClient.createAddressBook(
      () => ['a', 'b'],
      () => 0,
    )
    book.confirm('a')
    expect(book.next((address) => address === 'a')).toBe('b')
    expect(book.next(() => true)).toBeUndefined()
    expect(book.next()).toBe('a')
  })

  it('tries an unresponsive address again when there is no other', () => {
    const book = workflowClient.createAddressBook(
      () => ['a'],
      () => 0,
    )
    book.reject('a', true)
    expect(book.next()).toBe('a')
    expect(
      workflowClient
        .createAddressBook(
          () => [],
          () => 0,
        )
        .next(),
    ).toBeUndefined()
  })
})
