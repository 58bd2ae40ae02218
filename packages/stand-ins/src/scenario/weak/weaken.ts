/**
 * Overrides members of a service that is already bound in a container.
 */
import type { Container, ServiceIdentifier } from 'inversify'

/**
 * Rebinds a service with some members replaced; the others are forwarded to the original.
 * @param container - the container of one VM, before anything is started
 * @param createMembers - creates the replacements from the bound service
 */
export function weaken<Part extends object> (container: Container, id: ServiceIdentifier<Part>, change: (part: Part) => Partial<Part>): void {
  const part = container.get(id)
  const replaced = change(part)
  const weak = new Proxy(part, {
    get: (target, name) => {
      if (Object.hasOwn(replaced, name)) return Reflect.get(replaced, name) as unknown
      const member: unknown = Reflect.get(target, name, target)
      return typeof member === 'function' ? (member as (...args: unknown[]) => unknown).bind(target) : member
    },
    set: (target, name, value) => Reflect.set(target, name, value, target)
  })
  container.rebind(id).toConstantValue(weak)
}
