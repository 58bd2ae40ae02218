/**
 * Composition root: builds the dependency injection container of one VM.
 */
import 'reflect-metadata'
import { Container } from 'inversify'
import type { Settings } from '../settings/settingsSchema.js'
import { bindBase } from './bindBase.js'
import { bindBudgets } from './bindBudgets.js'
import { bindConfig } from './bindConfig.js'
import { bindPlacement } from './bindPlacement.js'
import { bindServing } from './bindServing.js'
import { ids } from './serviceIds.js'
import { VmProcess } from './vmProcess.js'

/**
 * Composes one VM.
 * @param rebind - changes bindings before any service is created; tests use it to bind faulty components
 */
export function composeVm (settings: Settings, rebind: (container: Container) => void = () => {}): VmProcess {
  const container = new Container()
  bindBase(container, settings)
  bindConfig(container)
  bindBudgets(container)
  bindPlacement(container)
  bindServing(container)
  let handleReplaced: (by: string) => void = () => {}
  container.bind(ids.onReplaced).toConstantValue(by => { handleReplaced(by) })
  rebind(container)
  const vm = new VmProcess(container)
  handleReplaced = by => { vm.handleReplaced(by) }
  return vm
}
