import { expect, test } from 'vitest'
import { chooseFirstVoters } from '../src/findFirstVoters.js'

const SEEDS = ['a', 'b', 'c']
const LONG_MS = 10_000

test('seeds that all have a disk are the first voters', () => {
  expect(chooseFirstVoters(SEEDS, new Map([['a', true], ['b', true], ['c', true]]), 0)).toEqual(SEEDS)
})

test('seeds that only pass requests on never vote: with two of them, the third founds alone', () => {
  expect(chooseFirstVoters(SEEDS, new Map([['a', true], ['b', false], ['c', true]]), 0)).toEqual(['a', 'c'])
  expect(chooseFirstVoters(SEEDS, new Map([['a', true], ['b', false], ['c', false]]), 0)).toEqual(['a'])
})

test('a seed that is down at the first start is waited for, and counts as a voter after it', () => {
  const heard = new Map([['a', true], ['b', true]])
  expect(chooseFirstVoters(SEEDS, heard, 0)).toBeUndefined()
  expect(chooseFirstVoters(SEEDS, heard, LONG_MS)).toEqual(SEEDS)
})

test('nobody founds a cluster of which the seeds with a disk that were heard are no majority', () => {
  expect(chooseFirstVoters(SEEDS, new Map([['a', true]]), LONG_MS)).toBeUndefined()
  expect(chooseFirstVoters(SEEDS, new Map([['a', true], ['b', false]]), LONG_MS)).toBeUndefined()
})
