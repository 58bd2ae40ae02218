/**
 * Vocabulary of the engine stand-in's answers; each word is one token.
 */

export type AnswerLanguage = 'spanish' | 'kichwa' | 'vietnamese'

const spanish = `el la los una con para desde hasta entre cuando mañana tarde noche viaje terminal andén puerta silla
  ruedas guía acompañante equipaje boleto asiento llegada salida hora reserva familia señora señor ayuda ascensor rampa
  pasillo autobús vuelo espera aviso teléfono confirmado lista nombre número calle barrio centro norte sur aeropuerto
  embarque escala conexión servicio turno voluntario encuentro entrada piso mostrador maleta camino gracias también
  siempre antes después cerca seguro tranquila despacio listo`

const kichwa = `alli puncha mashi shuk ishkay kimsa chusku pichka sukta kanchis pusak iskun chunka wasi ñan yaku inti
  killa urku allpa mama tayta wawa warmi kari ayllu llakta antawa rina shamuna kutina mikuna upyana puñuna yanapana
  yachana rikuna uyana rimana kana charina munana tukuna tuta chishi kaya kayna kunan ñukanchik kikin paykuna kankuna
  hatun uchilla sumak mushuk rumi tiyarina willana punku ñawpa katik minkay pampa`

const vietnamese = `tường sạch sơn vẽ bậy xóa phường trường học cửa hàng đường phố báo giá đội thợ lịch hẹn sáng chiều
  mai hôm nay tuần tháng diện tích mét vuông mặt tiền hẻm chợ cầu công viên khách chủ quản lý tòa nhà ảnh chụp vị trí
  gần xa nhanh chậm xong chưa đang sẽ đã gửi nhận gọi điện thoại số tên quận hóa chất nước máy phun bàn chải an toàn cảm
  ơn vui lòng kiểm tra xác nhận`

const split = (words: string): readonly string[] => words.split(/\s+/)

export const answerWords: Readonly<Record<AnswerLanguage, readonly string[]>> = {
  spanish: split(spanish),
  kichwa: split(kichwa),
  vietnamese: split(vietnamese)
}

const VIETNAMESE_LETTERS = /[ăđơưạảấầẩẫậắằẳẵặẹẻẽếềểễệỉịọỏốồổỗộớờởỡợụủứừửữựỳỵỷỹ]/i
const KICHWA_WORDS = /\b(imanalla|kichwa|kichwapi|mashi|yanapay|yanapaway|antawa|ñuka|ñukanchik|maypi|imashna|kayna|kunan)\b/i

/**
 * Language of the answer to a conversation.
 * @param model - the prefix `vi-` selects Vietnamese
 * @param text - all messages so far
 */
export function detectLanguage (model: string, text: string): AnswerLanguage {
  if (model.startsWith('vi-') || VIETNAMESE_LETTERS.test(text)) return 'vietnamese'
  return KICHWA_WORDS.test(text) ? 'kichwa' : 'spanish'
}
