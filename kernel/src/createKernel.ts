import { BriarpickError } from '@briarpick/error'

/** A service that the kernel starts and closes. */
export interface Service {
  close: () => Promise<void>
}

/** Makes a service; may look up services that were started before it. */
export type ServiceFactory<S extends Service> = (kernel: Kernel) => Promise<S> | S

/** Finds services by name and owns their lifetimes. */
export interface Kernel {
  /** Starts a service under a name. */
  start: <S extends Service>(name: string, factory: ServiceFactory<S>) => Promise<S>
  /** The service of that name; fails if it was not started. */
  get: <S extends Service>(name: string) => S
  /** The service of that name; undefined if it was not started. */
  find: <S extends Service>(name: string) => S | undefined
  /** Names in the order of their start. */
  names: () => readonly string[]
  /** Closes all services, the last started first. */
  close: () => Promise<void>
}

/** Creates an empty kernel. */
export function createKernel (): Kernel {
  const services = new Map<string, Service>()
  let closing: Promise<void> | undefined

  const kernel: Kernel = {
    async start (name, factory) {
      if (services.has(name)) throw alreadyStarted(name)
      const service = await factory(kernel)
      services.set(name, service)
      return service
    },
    get <S extends Service>(name: string): S {
      const service = services.get(name)
      if (service === undefined) throw notStarted(name)
      return service as S
    },
    find: <S extends Service>(name: string) => services.get(name) as S | undefined,
    names: () => [...services.keys()],
    close () {
      closing ??= closeAll()
      return closing
    },
  }

  async function closeAll (): Promise<void> {
    for (const service of [...services.values()].reverse()) {
      await service.close()
    }
    services.clear()
  }

  return kernel
}

function alreadyStarted (name: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_USAGE', `service ${name} is started already`, { hint: 'give each service its own name' })
}

function notStarted (name: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_USAGE', `service ${name} is not started`, { hint: 'start it before the services that use it' })
}
