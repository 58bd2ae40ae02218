/**
 * Replaces members of a part that is bound already, and leaves the rest of it as it is.
 */
import type { Container, ServiceIdentifier } from 'inversify'

/**
 * Binds a weaker version of a part.
 * @param container - the container of one VM, before anything is started
 * @param id - the part
 * @param change - makes the members to replace from the part as bound
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
