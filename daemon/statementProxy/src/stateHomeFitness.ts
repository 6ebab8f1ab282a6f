import { type RenewRequest } from '@briarpick/types'

/** Options of `stateHomeFitness`. */
export interface HomeFitnessOptions {
  /** Suitability of the VM for homes by its size, from 0 to 1. */
  readonly homeFitness: number
  /** True if this process got too little processor time within the last seconds. */
  readonly isOverloaded: boolean
}

/** Factor of the fitness for homes while a VM is overloaded. */
const OVERLOAD_FITNESS_FACTOR = 0.1

/** What a proxy states about its VM's suitability for homes with each renewal. */
export function stateHomeFitness ({ homeFitness, isOverloaded }: HomeFitnessOptions): Pick<RenewRequest, 'homeFitness'> {
  return { homeFitness: homeFitness * (isOverloaded ? OVERLOAD_FITNESS_FACTOR : 1) }
}
