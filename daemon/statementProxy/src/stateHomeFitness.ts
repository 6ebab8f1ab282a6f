import { type RenewRequest } from '@briarpick/types'

/** Options of `stateHomeFitness`. */
export interface HomeFitnessOptions {
  /** Suitability of the VM for homes by its size, from 0 to 1. */
  readonly homeFitness: number
  /** True while this process gets too little processor time. */
  readonly isOverloaded: boolean
}

/**
 * What a proxy states about its VM's suitability for homes with each renewal. The overload is stated beside the fitness: only control
 * knows whether another VM would do better.
 */
export function stateHomeFitness ({ homeFitness, isOverloaded }: HomeFitnessOptions): Pick<RenewRequest, 'homeFitness' | 'overloaded'> {
  return { homeFitness, overloaded: isOverloaded }
}
