import { expect, test } from 'vitest'
import { chooseInitialVoters } from '../src/findInitialVoters.js'

const SEEDS = ['a', 'b', 'c']
const AFTER_TIMEOUT_MS = 10_000

test('all seeds are the initial voters if all have a disk', () => {
  expect(chooseInitialVoters(SEEDS, new Map([['a', true], ['b', true], ['c', true]]), 0)).toEqual(SEEDS)
})

test('seeds without a disk are never voters; if two of three have none, the third is the only voter', () => {
  expect(chooseInitialVoters(SEEDS, new Map([['a', true], ['b', false], ['c', true]]), 0)).toEqual(['a', 'c'])
  expect(chooseInitialVoters(SEEDS, new Map([['a', true], ['b', false], ['c', false]]), 0)).toEqual(['a'])
})

test('a seed that is down at the first start is waited for until the timeout, and then counts as a voter', () => {
  const responses = new Map([['a', true], ['b', true]])
  expect(chooseInitialVoters(SEEDS, responses, 0)).toBeUndefined()
  expect(chooseInitialVoters(SEEDS, responses, AFTER_TIMEOUT_MS)).toEqual(SEEDS)
})

test('no initial voters are chosen until the seeds known to have a disk are a majority of them', () => {
  expect(chooseInitialVoters(SEEDS, new Map([['a', true]]), AFTER_TIMEOUT_MS)).toBeUndefined()
  expect(chooseInitialVoters(SEEDS, new Map([['a', true], ['b', false]]), AFTER_TIMEOUT_MS)).toBeUndefined()
})
