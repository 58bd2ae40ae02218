/**
 * Sample deployments of the demo: six VMs in three failure domains, a few runners and two teams
 * each.
 */
import { fleetSchema, type FleetDefinition } from '../scenario/language/scenarioSchema.js'

/** A deployment and the requests that the demo sends to it. */
export interface DemoShape {
  readonly name: string
  readonly definition: FleetDefinition
  readonly service: string
  readonly order: string
  /** Completion requests, one for each team. */
  readonly prompts: ReadonlyArray<{ readonly team: string, readonly model: string, readonly prompt: string }>
}

const budgets = { 'budget-a': 100_000, 'budget-b': 20_000 }

const manosAlAnden: DemoShape = {
  name: 'Manos al Andén',
  definition: fleetSchema.parse({
    vms: {
      'quito-1': 'quito-centro',
      'quito-2': 'quito-centro',
      'cumbaya-1': 'cumbaya',
      'cumbaya-2': 'cumbaya',
      'tababela-1': 'tababela',
      'tababela-2': 'tababela'
    },
    engines: {
      'asistente-lm-1': { domain: 'quito-centro', models: ['asistente', 'resumen'], msPerToken: 20 },
      'asistente-lm-2': { domain: 'cumbaya', models: ['asistente', 'resumen'], msPerToken: 20 },
      'asistente-lm-3': { domain: 'tababela', models: ['asistente', 'resumen'], msPerToken: 20 }
    },
    services: { reservas: { runners: { 'reservas-app-1': 'quito-centro', 'reservas-app-2': 'tababela' } } },
    teams: {
      viajeros: { budget: 'budget-a', models: ['asistente'], services: ['reservas'] },
      agencias: { budget: 'budget-b', models: ['asistente', 'resumen'] }
    },
    budgets
  }),
  service: 'reservas',
  order: '{"pasajera":"Rosa","terminal":"Quitumbe","anden":7}',
  prompts: [
    { team: 'viajeros', model: 'asistente', prompt: 'Necesito ayuda con silla de ruedas en la terminal de Quitumbe' },
    { team: 'agencias', model: 'resumen', prompt: 'Tôi cần tóm tắt cuộc gọi của khách đi xe lăn' }
  ]
}

const tuongSach: DemoShape = {
  name: 'Tường Sạch',
  definition: fleetSchema.parse({
    vms: {
      'thu-duc-1': 'thu-duc',
      'thu-duc-2': 'thu-duc',
      'tan-binh-1': 'tan-binh',
      'tan-binh-2': 'tan-binh',
      'binh-thanh-1': 'binh-thanh',
      'binh-thanh-2': 'binh-thanh'
    },
    engines: {
      'llm-pool-1': { domain: 'thu-duc', models: ['vi-quote', 'vi-report'], msPerToken: 20 },
      'llm-pool-2': { domain: 'tan-binh', models: ['vi-quote', 'vi-report'], msPerToken: 20 },
      'llm-pool-3': { domain: 'binh-thanh', models: ['vi-quote', 'vi-report'], msPerToken: 20 }
    },
    services: { jobs: { runners: { 'jobs-api-1': 'thu-duc', 'jobs-api-2': 'binh-thanh' } } },
    teams: {
      wards: { budget: 'budget-a', models: ['vi-quote'], services: ['jobs'] },
      shops: { budget: 'budget-b', models: ['vi-quote', 'vi-report'] }
    },
    budgets
  }),
  service: 'jobs',
  order: '{"wall":"school gate","crew":3}',
  prompts: [
    { team: 'wards', model: 'vi-quote', prompt: 'Báo giá xoá hình vẽ trên tường trường học' },
    { team: 'shops', model: 'vi-report', prompt: 'Informe de la limpieza de la pared' }
  ]
}

/** Deployments by the value of `--shape`. */
export const demoShapes: Readonly<Record<string, DemoShape>> = { manos: manosAlAnden, tuong: tuongSach }
