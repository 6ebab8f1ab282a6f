import { chooseReadTarget, createOutlierEjection, type ReadCandidate } from '@briarpick/statement-home'
import { atMost, type Experiment, quantile, round } from '../parts/experiment.js'

const TARGETS = 50
const MAX_CHOICE_US = 5
/** Choices of one sample: the clock does not resolve a single one. */
const CHOICES_PER_SAMPLE = 1000

/** Processor time of the choice of a target for a read among many, with the state of the outlier ejection looked up for each. */
export const targetChoice: Experiment = async ({ short, print }) => {
  const position = { term: 1, offset: 10 }
  const ejection = createOutlierEjection({ now: () => performance.now() })
  const instances = Array.from({ length: TARGETS }, (_, i) => `i${i}`)
  ejection.check(instances.map((instance) => ({ instance, isAnswering: true })))
  const candidates = instances.map((instance, i): ReadCandidate => ({
    instance,
    isPrimary: i === 0,
    isLocal: i % 3 === 0,
    isFree: i % 2 === 0,
    canAcquire: true,
    active: i % 5,
    slots: 5,
    capacity: 6,
    received: position,
    applied: position,
    lagMs: 20 - i % 7,
    receiveLagMs: 0,
    isHeldBack: false,
    extraMs: 0,
  }))
  const requirement = { required: position, requiredAgeMs: 100, excluded: new Set<string>(), expectedWaitMs: () => 0 }
  let chosen = 0
  const samples: number[] = []
  for (let i = 0; i < (short ? 100 : 1000); i += 1) {
    const start = process.cpuUsage()
    for (let j = 0; j < CHOICES_PER_SAMPLE; j += 1) {
      for (const { instance } of candidates) if (ejection.standing(instance).limit === 0) chosen += 1
      if (chooseReadTarget(candidates, requirement) !== undefined) chosen += 1
    }
    const { user, system } = process.cpuUsage(start)
    samples.push((user + system) / CHOICES_PER_SAMPLE)
  }
  const medianUs = quantile(samples, 0.5)
  print(`${chosen} choices among ${TARGETS} targets: median ${round(medianUs)} us, slowest sample ${round(Math.max(...samples))} us`)
  return { name: 'targetChoice', aims: [atMost(`choice among ${TARGETS} targets`, medianUs, MAX_CHOICE_US, ' us')], data: { medianUs } }
}
