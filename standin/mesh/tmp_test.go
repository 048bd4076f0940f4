package mesh
import ("testing";"time";"context")
func TestTmp(t *testing.T){
 m:=&Mesh{}
 if err:=m.StartPlatform();err!=nil{t.Fatal(err)}
 if err:=m.Deploy(Kingston);err!=nil{t.Fatal(err)}
 ctx,c:=context.WithTimeout(context.Background(),10*time.Second);defer c()
 t.Log(m.Settle(ctx))
 time.Sleep(5*time.Second)
 m.Stop()
}
