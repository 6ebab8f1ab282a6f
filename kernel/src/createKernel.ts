import { BriarpickError } from '@briarpick/error'

/** A service with a lifecycle managed by the kernel. */
export interface Service {
  close: () => Promise<void>
}

/** Creates a service; may look up services that were started before it. */
export type ServiceFactory<S extends Service> = (kernel: Kernel) => Promise<S> | S

/** Registry of named services that manages their lifecycles. */
export interface Kernel {
  /** Starts a service and registers it under `name`; rejects if the name is taken. */
  start: <S extends Service>(name: string, factory: ServiceFactory<S>) => Promise<S>
  /** Returns the service of that name; throws if it was not started. */
  get: <S extends Service>(name: string) => S
  /** Returns the service of that name; undefined if it was not started. */
  find: <S extends Service>(name: string) => S | undefined
  /** Service names in start order. */
  names: () => readonly string[]
  /** Closes all services in reverse start order; further calls return the same promise. */
  close: () => Promise<void>
}

/** Creates a kernel without services. */
export function createKernel (): Kernel {
  const services = new Map<string, Service>()
  let closePromise: Promise<void> | undefined

  const kernel: Kernel = {
    async start (name, factory) {
      if (services.has(name)) throw alreadyStartedError(name)
      const service = await factory(kernel)
      services.set(name, service)
      return service
    },
    get <S extends Service>(name: string): S {
      const service = services.get(name)
      if (service === undefined) throw notStartedError(name)
      return service as S
    },
    find: <S extends Service>(name: string) => services.get(name) as S | undefined,
    names: () => [...services.keys()],
    close () {
      closePromise ??= closeAll()
      return closePromise
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

function alreadyStartedError (name: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_USAGE', `service ${name} is already started`, { hint: 'give each service a unique name' })
}

function notStartedError (name: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_USAGE', `service ${name} is not started`, { hint: 'start it before the services that depend on it' })
}
