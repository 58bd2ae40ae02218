/**
 * Overrides members of a service that is already bound in a container.
 */
import type { Container, ServiceIdentifier } from 'inversify'

/**
 * Rebinds a service with some members replaced; the others are forwarded to the original.
 * @param container - the container of one VM, before anything is started
 * @param createOverrides - creates the replacements from the bound service
 */
export function overrideMembers<Service extends object> (container: Container, id: ServiceIdentifier<Service>, createOverrides: (service: Service) => Partial<Service>): void {
  const service = container.get(id)
  const overrides = createOverrides(service)
  const overridden = new Proxy(service, {
    get: (target, name) => {
      if (Object.hasOwn(overrides, name)) return Reflect.get(overrides, name) as unknown
      const member: unknown = Reflect.get(target, name, target)
      return typeof member === 'function' ? (member as (...args: unknown[]) => unknown).bind(target) : member
    },
    set: (target, name, value) => Reflect.set(target, name, value, target)
  })
  container.rebind(id).toConstantValue(overridden)
}
